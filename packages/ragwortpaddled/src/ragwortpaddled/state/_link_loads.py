"""What the links between data centres carry.

Load pattern: prompts that cross a shared link faster than it passes them on. Each waits behind the
others, callers give up, and repeats keep the link full; so a link takes no more than it can carry.
"""

import time
from collections import defaultdict, deque
from dataclasses import dataclass, field

WINDOW_SECONDS = 1.0
MAX_BUSY_SHARE = 0.75  # beyond it the wait for a link exceeds three transfers
CONGESTED_SECONDS = 1.0
MAX_CONGESTED_SECONDS = 4.0

Link = frozenset[str]


@dataclass(slots=True)
class _LinkLoad:
    peers_bits: float = 0.0
    sent: deque[tuple[float, float]] = field(default_factory=deque)
    bits: float = 0.0
    congested_until: float = 0.0
    congestions: int = 0


class LinkLoads:
    """The links by the two data centres that they join."""

    def __init__(self) -> None:
        self._bits_by_peer: dict[str, dict[Link, float]] = {}
        self._load_by_link: defaultdict[Link, _LinkLoad] = defaultdict(_LinkLoad)

    def note(self, link: Link, bits: float) -> None:
        """Count what a request will send over a link."""
        load = self._load_by_link[link]
        load.sent.append((time.monotonic(), bits))
        load.bits += bits

    def own_bits(self) -> dict[Link, float]:
        """Return what the own requests of the last window send over each link."""
        return {link: bits for link in self._load_by_link if (bits := self._recent_bits(link))}

    def take_peer(self, name: str, bits_by_link: dict[Link, float]) -> None:
        """Take in what another daemon's requests send."""
        for link, bits in self._bits_by_peer.get(name, {}).items():
            self._load_by_link[link].peers_bits -= bits
        for link, bits in bits_by_link.items():
            self._load_by_link[link].peers_bits += bits
        self._bits_by_peer[name] = bits_by_link

    def busy_share(self, link: Link, mbps: float) -> float:
        """Estimate how busy a link is with the requests of all daemons."""
        bits = self._recent_bits(link) + self._load_by_link[link].peers_bits
        return bits / (mbps * 1e6 * WINDOW_SECONDS)

    def congest(self, link: Link) -> float:
        """Avoid a link over which requests stalled, longer each time; return the seconds."""
        load = self._load_by_link[link]
        now = time.monotonic()
        if now < load.congested_until:
            return load.congested_until - now
        load.congestions += 1
        seconds = min(MAX_CONGESTED_SECONDS, CONGESTED_SECONDS * 2 ** (load.congestions - 1))
        load.congested_until = now + seconds
        return seconds

    def pass_on(self, link: Link) -> None:
        """Forget the congestion of a link that carried a request in time."""
        load = self._load_by_link[link]
        if time.monotonic() >= load.congested_until:
            load.congestions = 0

    def has_room(self, link: Link, mbps: float) -> bool:
        """Tell whether a link can take another request."""
        if time.monotonic() < self._load_by_link[link].congested_until:
            return False
        return self.busy_share(link, mbps) < MAX_BUSY_SHARE

    def _recent_bits(self, link: Link) -> float:
        load = self._load_by_link[link]
        horizon = time.monotonic() - WINDOW_SECONDS
        while load.sent and load.sent[0][0] < horizon:
            load.bits -= load.sent.popleft()[1]
        return load.bits if load.sent else 0.0
