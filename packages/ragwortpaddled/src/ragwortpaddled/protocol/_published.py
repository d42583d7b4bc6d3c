"""The values that daemons publish to each other through gossip, by key prefix."""

import msgspec

from ragwortpaddled.protocol._platform import Vm

STATE_KEY = "state"
RELEASE_KEY = "release"
DEMAND_KEY = "demand"
VMS_KEY = "vms"
LOAD_PREFIX = "load/"
BLAME_PREFIX = "blame/"
QUARANTINE_PREFIX = "quarantine/"
SUMMARY_PREFIX = "summary/"
SIGNAL_PREFIX = "signal/"


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """Whether a daemon is serving or leaving, and where callers reach it."""

    leaving: bool
    address: str


class ReleaseInForce(msgspec.Struct, frozen=True, array_like=True):
    """The release that a daemon serves under."""

    number: int


class DemandLine(msgspec.Struct, frozen=True, array_like=True):
    """What one team asks of one pool: requests running and waiting, and rates a second."""

    team: str
    pool: str
    running: int
    waiting: int
    requests_per_second: float
    tokens_per_second: float

    def __add__(self, other: "DemandLine") -> "DemandLine":
        return DemandLine(
            self.team,
            self.pool,
            self.running + other.running,
            self.waiting + other.waiting,
            self.requests_per_second + other.requests_per_second,
            self.tokens_per_second + other.tokens_per_second,
        )


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """The demand that one daemon sees."""

    lines: list[DemandLine]


class PublishedLoad(msgspec.Struct, frozen=True, array_like=True):
    """What the poller of an endpoint learned of it."""

    report: bytes


class VmListing(msgspec.Struct, frozen=True, array_like=True):
    """The platform's VM list as its poller last read it."""

    vms: list[Vm]


class Blame(msgspec.Struct, frozen=True, array_like=True):
    """Evidence that a request's content was on an endpoint when it crashed."""

    content: str
    request: str
    endpoint: str
    at: float


class Quarantine(msgspec.Struct, frozen=True, array_like=True):
    """A request content that is refused; times in seconds of the Unix epoch."""

    content: str
    since: float
    until: float
    evidence: list[str]


class Signal(msgspec.Struct, frozen=True, array_like=True):
    """A state of affairs that puts an outcome at risk."""

    kind: str
    object_name: str
    evidence: list[str]
    since: float
    done: str
    advice: str


class MemberSummary(msgspec.Struct, frozen=True, array_like=True):
    """One live daemon of another data centre."""

    name: str
    peer_address: str
    release: int


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """What other data centres need to know of one."""

    members: list[MemberSummary]
    demand: list[DemandLine]
    quarantines: list[Quarantine]
    blames: list[Blame]


PublishedValue = (
    MemberState
    | ReleaseInForce
    | Demand
    | PublishedLoad
    | VmListing
    | Blame
    | Quarantine
    | Signal
    | Summary
)


def encode_value(value: PublishedValue) -> bytes:
    """Return the bytes of a published value."""
    return msgspec.msgpack.encode(value)
