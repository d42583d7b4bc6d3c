"""Tracks the traffic on the links between data centres.

Load pattern: prompts arrive at a shared link faster than it can transfer them. Each queues behind
the others, callers time out, and their retries keep the link saturated. So requests are placed on a
link only up to a fraction of its bandwidth.
"""

import time
from collections import defaultdict, deque
from dataclasses import dataclass, field

RATE_WINDOW_SECONDS = 1.0
MAX_UTILIZATION = 0.75  # above it, queueing takes longer than three transfers
INITIAL_CONGESTION_SECONDS = 1.0
MAX_CONGESTION_SECONDS = 4.0

Link = frozenset[str]


@dataclass(slots=True)
class _LinkLoad:
    peer_bits: float = 0.0
    transfers: deque[tuple[float, float]] = field(default_factory=deque)
    window_bits: float = 0.0
    congested_until: float = 0.0
    congestions: int = 0


class LinkLoads:
    """Tracks the traffic and congestion of each link, named by the two data centres it connects."""

    def __init__(self) -> None:
        self._bits_by_peer: dict[str, dict[Link, float]] = {}
        self._load_by_link: defaultdict[Link, _LinkLoad] = defaultdict(_LinkLoad)

    def record_transfer(self, link: Link, bits: float) -> None:
        """Record the bits that a request will transfer over a link."""
        load = self._load_by_link[link]
        load.transfers.append((time.monotonic(), bits))
        load.window_bits += bits

    def own_bits_by_link(self) -> dict[Link, float]:
        """Return the bits per link of this daemon's requests in the current window."""
        return {link: bits for link in self._load_by_link if (bits := self._own_bits(link))}

    def update_peer(self, name: str, bits_by_link: dict[Link, float]) -> None:
        """Replace the bits per link that a peer reported."""
        for link, bits in self._bits_by_peer.get(name, {}).items():
            self._load_by_link[link].peer_bits -= bits
        for link, bits in bits_by_link.items():
            self._load_by_link[link].peer_bits += bits
        self._bits_by_peer[name] = bits_by_link

    def utilization(self, link: Link, mbps: float) -> float:
        """Estimate the fraction of a link's bandwidth that the requests of all daemons use."""
        bits = self._own_bits(link) + self._load_by_link[link].peer_bits
        return bits / (mbps * 1e6 * RATE_WINDOW_SECONDS)

    def record_congestion(self, link: Link) -> float:
        """Exclude a link on which requests stalled; return for how many seconds.

        The time doubles on each consecutive congestion.
        """
        load = self._load_by_link[link]
        now = time.monotonic()
        if now < load.congested_until:
            return load.congested_until - now
        load.congestions += 1
        seconds = min(
            MAX_CONGESTION_SECONDS, INITIAL_CONGESTION_SECONDS * 2 ** (load.congestions - 1)
        )
        load.congested_until = now + seconds
        return seconds

    def record_success(self, link: Link) -> None:
        """Reset the congestion backoff of a link after a transfer without a stall."""
        load = self._load_by_link[link]
        if time.monotonic() >= load.congested_until:
            load.congestions = 0

    def has_room(self, link: Link, mbps: float) -> bool:
        """Return whether a link is neither congested nor at its utilization limit."""
        if time.monotonic() < self._load_by_link[link].congested_until:
            return False
        return self.utilization(link, mbps) < MAX_UTILIZATION

    def _own_bits(self, link: Link) -> float:
        load = self._load_by_link[link]
        window_start = time.monotonic() - RATE_WINDOW_SECONDS
        while load.transfers and load.transfers[0][0] < window_start:
            load.window_bits -= load.transfers.popleft()[1]
        return load.window_bits if load.transfers else 0.0
