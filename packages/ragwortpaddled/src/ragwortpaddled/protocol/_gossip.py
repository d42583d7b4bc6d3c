"""The wire types of gossip between daemons."""

import msgspec


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """One life of one daemon; a restarted daemon has a higher incarnation."""

    name: str
    incarnation: int
    data_centre: str
    peer_address: str


class DigestLine(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon holds of one origin."""

    origin: Origin
    version: int
    heartbeat: int


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One published value; an empty value withdraws it."""

    key: str
    version: int
    value: bytes


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Entries of one origin in order of version, complete up to ``version``."""

    origin: Origin
    version: int
    heartbeat: int
    entries: list[Entry]
