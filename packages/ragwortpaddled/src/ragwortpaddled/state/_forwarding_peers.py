"""The peers through which this daemon can reach endpoints while its own links are lost."""

import random
import time
from dataclasses import dataclass

# A peer that could not forward a request is skipped until it says that it can, or for so long.
REFUSAL_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class ForwardingPeer:
    """A peer, and the address at which it accepts requests to forward."""

    name: str
    address: str
    data_centre: str


class ForwardingPeers:
    """Tracks which peers forward requests, from their entries, their gossip and their answers."""

    def __init__(self, data_centre: str, random_source: random.Random) -> None:
        self._data_centre = data_centre
        self._random = random_source
        self._peer_by_name: dict[str, ForwardingPeer] = {}
        self._unavailable_names: set[str] = set()
        self._refused_until_by_name: dict[str, float] = {}

    def add(self, peer: ForwardingPeer) -> None:
        """Add a peer or replace its address."""
        self._peer_by_name[peer.name] = peer

    def remove(self, name: str) -> None:
        """Forget a peer that is no longer registered."""
        self._peer_by_name.pop(name, None)
        self._unavailable_names.discard(name)
        self._refused_until_by_name.pop(name, None)

    def set_available(self, name: str, available: bool) -> None:
        """Record whether a peer is reachable and says that it forwards requests."""
        if available:
            self._unavailable_names.discard(name)
            self._refused_until_by_name.pop(name, None)
        elif name in self._peer_by_name:
            self._unavailable_names.add(name)

    def record_refusal(self, name: str) -> None:
        """Skip a peer for ``REFUSAL_SECONDS``, since it could not forward a request."""
        self._refused_until_by_name[name] = time.monotonic() + REFUSAL_SECONDS

    def candidates(self) -> list[ForwardingPeer]:
        """Return the usable peers in the order in which to try them.

        One of the own data centre comes first, since traffic between data centres is billed. If it
        cannot forward, the others of that data centre may have lost their links too.
        """
        now = time.monotonic()
        usable = [
            peer
            for name, peer in self._peer_by_name.items()
            if name not in self._unavailable_names
            and self._refused_until_by_name.get(name, 0.0) <= now
        ]
        self._random.shuffle(usable)
        near = [peer for peer in usable if peer.data_centre == self._data_centre]
        far = [peer for peer in usable if peer.data_centre != self._data_centre]
        return [*near[:1], *far, *near[1:]]
