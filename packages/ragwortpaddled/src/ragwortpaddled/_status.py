"""The body of ``GET /status``: one daemon's view of peers, endpoints and its own work."""

import time

import msgspec

from ragwortpaddled.coordination import (
    FleetView,
    PeerLinks,
    QuarantineTracker,
    ReleaseTracker,
    SignalMonitor,
)
from ragwortpaddled.protocol import PlatformClient, Quarantine
from ragwortpaddled.state import EndpointTable


class MemberStatus(msgspec.Struct, frozen=True):
    """Another daemon's state in this daemon's membership table."""

    name: str
    health: str
    leaving: bool
    incarnation: int


class EndpointStatus(msgspec.Struct, frozen=True):
    """An endpoint's state as this daemon sees it; ``decode_ms`` is a moving average."""

    name: str
    pool: str
    data_centre: str
    layers: str
    circuit: str
    leaving: bool
    fresh: bool
    usable: bool
    serving: bool
    sequences: int
    decode_ms: float


class SignalStatus(msgspec.Struct, frozen=True):
    """A condition that operators should act on, with its evidence and the advised action."""

    kind: str
    object_name: str
    evidence: list[str]
    since: float
    done: str
    advice: str


class DaemonStatus(msgspec.Struct, frozen=True):
    """The body of ``GET /status``."""

    name: str
    release: int
    release_adopted_at: float
    release_by_daemon: dict[str, int]
    members: list[MemberStatus]
    endpoints: list[EndpointStatus]
    quarantines: list[Quarantine]
    signals: list[SignalStatus]
    platform_calls: dict[str, int]
    peer_messages_sent: int
    peer_bytes_sent: int
    peer_bytes_received: int
    peer_messages_refused: int
    requests_in_flight: int
    operations_unsettled: int


def build_status(
    name: str,
    fleet_view: FleetView,
    release_tracker: ReleaseTracker,
    endpoints: EndpointTable,
    quarantine_tracker: QuarantineTracker,
    signal_monitor: SignalMonitor,
    platform: PlatformClient,
    links: PeerLinks,
    peer_messages_refused: int,
    requests_in_flight: int,
    operations_unsettled: int,
) -> DaemonStatus:
    """Build a daemon's status from its components."""
    members = fleet_view.membership.member_by_name.values()
    now = time.monotonic()
    return DaemonStatus(
        name=name,
        release=release_tracker.number,
        release_adopted_at=release_tracker.adopted_at,
        release_by_daemon=fleet_view.release_by_daemon(),
        members=[
            MemberStatus(m.origin.name, m.health.value, m.leaving, m.origin.incarnation)
            for m in members
        ],
        endpoints=[
            EndpointStatus(
                endpoint.name,
                endpoint.vm.pool,
                endpoint.vm.data_centre,
                f"{endpoint.report.first_layer}-{endpoint.report.end_layer}",
                endpoint.circuit.state.value,
                endpoint.leaving,
                endpoint.has_fresh_report(now),
                endpoint.usable(now),
                endpoint.serving(now),
                endpoint.sequences,
                round(endpoint.decode.mean, 3),
            )
            for endpoint in endpoints
        ],
        quarantines=quarantine_tracker.active(),
        signals=[
            SignalStatus(s.kind, s.object_name, s.evidence, s.since, s.done, s.advice)
            for s in signal_monitor.signals()
        ],
        platform_calls=platform.calls_by_purpose,
        peer_messages_sent=links.messages_sent,
        peer_bytes_sent=links.bytes_sent,
        peer_bytes_received=links.bytes_received,
        peer_messages_refused=peer_messages_refused,
        requests_in_flight=requests_in_flight,
        operations_unsettled=operations_unsettled,
    )
