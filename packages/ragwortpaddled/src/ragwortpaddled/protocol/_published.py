"""The values that daemons publish by gossip, and their keys or key prefixes."""

import msgspec

from ragwortpaddled.protocol._platform import Vm

STATE_KEY = "state"
RELEASE_KEY = "release"
STORE_ERA_KEY = "store-era"
DEMAND_KEY = "demand"
VMS_KEY = "vms"
LOAD_PREFIX = "load/"
CRASH_EVIDENCE_PREFIX = "blame/"
QUARANTINE_PREFIX = "quarantine/"
SUMMARY_PREFIX = "summary/"
SIGNAL_PREFIX = "signal/"


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """Whether a daemon is leaving the fleet, and the address on which it serves callers."""

    leaving: bool
    address: str


class ActiveRelease(msgspec.Struct, frozen=True, array_like=True):
    """The number of the release that a daemon is using."""

    number: int


class StoreEra(msgspec.Struct, frozen=True, array_like=True):
    """The latest era of the platform's store that a daemon knows.

    In the era ``recovered`` the daemon has written its operation records again.
    """

    known: int
    recovered: int


class TeamPoolDemand(msgspec.Struct, frozen=True, array_like=True):
    """The demand of one team on one pool: running and waiting requests, rates per second."""

    team: str
    pool: str
    running: int
    waiting: int
    requests_per_second: float
    tokens_per_second: float

    def __add__(self, other: "TeamPoolDemand") -> "TeamPoolDemand":
        return TeamPoolDemand(
            self.team,
            self.pool,
            self.running + other.running,
            self.waiting + other.waiting,
            self.requests_per_second + other.requests_per_second,
            self.tokens_per_second + other.tokens_per_second,
        )


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """The demand of the requests that one daemon receives."""

    lines: list[TeamPoolDemand]


class PublishedLoad(msgspec.Struct, frozen=True, array_like=True):
    """The encoded load report of an endpoint, published by the daemon that polls it."""

    report: bytes


class VmListing(msgspec.Struct, frozen=True, array_like=True):
    """The platform's list of VMs, published by the daemon that polls it."""

    vms: list[Vm]


class CrashEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Evidence that an endpoint crashed while it processed a request with this content."""

    content: str
    request: str
    endpoint: str
    at: float


class Quarantine(msgspec.Struct, frozen=True, array_like=True):
    """A quarantined request content; times are in seconds since the Unix epoch."""

    content: str
    since: float
    until: float
    evidence: list[str]


class Signal(msgspec.Struct, frozen=True, array_like=True):
    """A warning to operators about a condition that puts the service at risk.

    ``done`` says how the daemons handle it, ``advice`` what the operator can do.
    """

    kind: str
    object_name: str
    evidence: list[str]
    since: float
    done: str
    advice: str


class MemberSummary(msgspec.Struct, frozen=True, array_like=True):
    """One live daemon, as other data centres see it."""

    name: str
    peer_address: str
    release: int
    store_era: StoreEra | None = None


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """The state of one data centre that its daemons send to other data centres."""

    members: list[MemberSummary]
    demand: list[TeamPoolDemand]
    quarantines: list[Quarantine]
    blames: list[CrashEvidence]


PublishedValue = (
    MemberState
    | ActiveRelease
    | StoreEra
    | Demand
    | PublishedLoad
    | VmListing
    | CrashEvidence
    | Quarantine
    | Signal
    | Summary
)


def encode_value(value: PublishedValue) -> bytes:
    """Encode a published value as MessagePack."""
    return msgspec.msgpack.encode(value)
