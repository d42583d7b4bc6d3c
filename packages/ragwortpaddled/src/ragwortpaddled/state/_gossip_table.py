"""Stores the entries that daemons publish by gossip, with versions for anti-entropy.

Every origin assigns its entries increasing version numbers. Two daemons exchange digests (the
highest version that each has of each origin) and then only the entries that the other is missing.
Heartbeats are part of the digests, so an idle fleet exchanges no entries.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from ragwortpaddled.protocol import Delta, DigestEntry, GossipEntry, Origin


@dataclass(slots=True)
class OriginState:
    """The entries and the heartbeat of one origin."""

    origin: Origin
    version: int = 0
    heartbeat: int = 0
    entry_by_key: dict[str, GossipEntry] = field(default_factory=dict)

    def value(self, key: str) -> bytes:
        """Return the value of a key, empty if it was never published or has been withdrawn."""
        entry = self.entry_by_key.get(key)
        return entry.value if entry is not None else b""

    def live_entries(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield the key without the prefix and the value of each entry that is not withdrawn."""
        for key, entry in self.entry_by_key.items():
            if entry.value and key.startswith(prefix):
                yield key.removeprefix(prefix), entry.value


class GossipTable:
    """The entries of every known origin, merged by incarnation and version."""

    def __init__(self, own: Origin) -> None:
        self.own = OriginState(own)
        self.state_by_name: dict[str, OriginState] = {own.name: self.own}

    def publish(self, key: str, value: bytes) -> bool:
        """Set an entry of this daemon; return whether its value changed."""
        current = self.own.entry_by_key.get(key)
        if current is None and not value:
            return False
        if current is not None and current.value == value:
            return False
        self.own.version += 1
        self.own.entry_by_key[key] = GossipEntry(key, self.own.version, value)
        return True

    def withdraw(self, key: str) -> None:
        """Replace an entry of this daemon with a tombstone, an empty value."""
        self.publish(key, b"")

    def increment_heartbeat(self) -> None:
        """Increment this daemon's heartbeat."""
        self.own.heartbeat += 1

    def raise_incarnation(self, seen_incarnation: int) -> None:
        """Set this daemon's incarnation to one above an incarnation that peers have seen."""
        self.own.origin = msgspec.structs.replace(self.own.origin, incarnation=seen_incarnation + 1)

    def digest(self, names: Iterable[str]) -> list[DigestEntry]:
        """Return the digest entries of the named origins."""
        states = (self.state_by_name[name] for name in names if name in self.state_by_name)
        return [DigestEntry(state.origin, state.version, state.heartbeat) for state in states]

    def deltas_for(self, digest: Iterable[DigestEntry], names: Iterable[str]) -> list[Delta]:
        """Return the entries of the named origins that the sender of a digest is missing."""
        digest_entry_by_name = {digest_entry.origin.name: digest_entry for digest_entry in digest}
        deltas = []
        for name in names:
            state = self.state_by_name.get(name)
            if state is None:
                continue
            delta = _delta_since(state, digest_entry_by_name.get(name))
            if delta is not None:
                deltas.append(delta)
        return deltas

    def merge(self, deltas: Iterable[Delta]) -> list[str]:
        """Merge deltas; return the names of the origins that changed."""
        changed = []
        for delta in deltas:
            state = self._get_or_add_state(delta.origin)
            if state is None or state is self.own or delta.version <= state.version:
                continue
            for entry in delta.entries:
                if entry.version > state.version:
                    state.entry_by_key[entry.key] = entry
            state.version = delta.version
            changed.append(delta.origin.name)
        return changed

    def update_heartbeat(self, origin: Origin, heartbeat: int) -> bool:
        """Update an origin's heartbeat; return whether it is higher than the known one."""
        state = self._get_or_add_state(origin)
        if state is None or state is self.own or heartbeat <= state.heartbeat:
            return False
        state.heartbeat = heartbeat
        return True

    def remove_origin(self, name: str) -> None:
        """Remove another origin with its entries; this daemon's own is kept."""
        if name != self.own.origin.name:
            self.state_by_name.pop(name, None)

    def _get_or_add_state(self, origin: Origin) -> OriginState | None:
        state = self.state_by_name.get(origin.name)
        if state is self.own:
            if origin.incarnation > self.own.origin.incarnation:
                self.raise_incarnation(origin.incarnation)
            return state
        if state is None or origin.incarnation > state.origin.incarnation:
            state = OriginState(origin)
            self.state_by_name[origin.name] = state
            return state
        if origin.incarnation < state.origin.incarnation:
            return None
        return state


def _delta_since(state: OriginState, digest_entry: DigestEntry | None) -> Delta | None:
    known_version = 0
    if digest_entry is not None and digest_entry.origin.incarnation > state.origin.incarnation:
        return None
    if digest_entry is not None and digest_entry.origin.incarnation == state.origin.incarnation:
        known_version = digest_entry.version
    if known_version >= state.version:
        return None
    entries = [entry for entry in state.entry_by_key.values() if entry.version > known_version]
    entries.sort(key=lambda entry: entry.version)
    return Delta(state.origin, state.version, state.heartbeat, entries)
