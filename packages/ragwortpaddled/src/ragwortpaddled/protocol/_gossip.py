"""The message parts of gossip between daemons."""

import msgspec


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """One run of one daemon; each restart has a higher incarnation."""

    name: str
    incarnation: int
    data_centre: str
    peer_address: str


class DigestEntry(msgspec.Struct, frozen=True, array_like=True):
    """The version and heartbeat up to which a daemon has the state of one origin."""

    origin: Origin
    version: int
    heartbeat: int


class GossipEntry(msgspec.Struct, frozen=True, array_like=True):
    """One published value; an empty value is a tombstone."""

    key: str
    version: int
    value: bytes


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Entries of one origin, sorted by version and complete up to ``version``."""

    origin: Origin
    version: int
    heartbeat: int
    entries: list[GossipEntry]
