"""Estimates the current load of each endpoint from the view of one daemon.

Load pattern: several daemons send to the same endpoints concurrently. A daemon counts its own
requests exactly. It learns the requests of other daemons from their gossip and from the load that
endpoints report in their responses; that report is most recent on the busiest endpoints.
"""

import math
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

# A full engine has room again within a few decode steps. One that leaves refuses all requests, and
# its entry may not be readable meanwhile, so the time doubles until it accepts a request.
OVERLOAD_BACKOFF_SECONDS = 0.15
MAX_OVERLOAD_BACKOFF_SECONDS = 2.4
# Doubles on each consecutive failure; a crashed endpoint restarts within a few seconds.
INITIAL_SUSPICION_SECONDS = 1.0
# A lost engine is suspected until its registry entry has expired, which takes three heartbeat
# intervals of about a second.
LOST_ENGINE_SUSPICION_SECONDS = 4.0
MAX_SUSPICION_SECONDS = 4.0
# A healthy endpoint may not respond for about a second.
MIN_UNREACHABLE_SECONDS = 1.5
# An engine is tried again after at most MAX_SUSPICION_SECONDS, and a request that waits for it then
# stalls for up to 2 s. Reports that lie further apart are about different stalls.
MAX_STALL_GAP_SECONDS = 6.0
SUSPICION_QUORUM = 2  # a single daemon may only have lost its own connection to the endpoint
# Daemons that place requests by outdated loads all choose the engines that were idle then. A few
# recent reports give a better estimate than many of which some are older.
PEER_LOAD_TTL_SECONDS = 1.0
PEER_SUSPICION_TTL_SECONDS = 2.0
REPORTED_LOAD_TTL_SECONDS = 2.0  # outdated after the typical duration of a generation


@dataclass(slots=True)
class EndpointLoad:
    """The estimated load and the failure suspicion of one endpoint."""

    own_requests: int = 0
    own_tokens: float = 0.0
    peer_requests: int = 0
    reported_other_requests: int = 0
    reported_at: float = 0.0
    suspect_until: float = 0.0
    failures: int = 0
    consecutive_overloads: int = 0
    refused_at: float = 0.0
    suspected_lost: bool = False
    suspected_lost_since: float = 0.0
    stalled_since: float = 0.0  # first report that other engines wait for it; 0 without one
    stalled_at: float = 0.0  # the last such report
    suspecting_peer_count: int = 0

    def other_requests(self, now: float, *, unreported: float = 0.0) -> float:
        """Return the requests of other daemons: the larger of the peers' and the endpoint's count.

        The endpoint's count is weighted down linearly with its age. ``unreported`` are requests of
        daemons without a recent report, which only the endpoint's count includes.
        """
        age = now - self.reported_at
        reported_requests = self.reported_other_requests * max(
            0.0, 1.0 - age / REPORTED_LOAD_TTL_SECONDS
        )
        return max(self.peer_requests + unreported, reported_requests)

    def running(self, now: float) -> float:
        """Return the number of requests that the endpoint is running for all daemons."""
        return self.own_requests + self.other_requests(now)

    def suspect(self, now: float) -> bool:
        """Return whether the endpoint is suspected by this daemon or by a quorum of peers."""
        return now < self.suspect_until or self.suspected_by_peers

    @property
    def suspected_by_peers(self) -> bool:
        """Return whether a quorum of peers suspects the endpoint."""
        return self.suspecting_peer_count >= SUSPICION_QUORUM

    def end_expired_suspicion(self) -> None:
        """Forget that the engine was suspected to be lost, if that time is over."""
        self.suspected_lost = self.suspected_lost and time.monotonic() < self.suspect_until

    @property
    def stalled_seconds(self) -> float:
        """Return the time between the first and the last report that engines wait for this one."""
        return self.stalled_at - self.stalled_since if self.stalled_since else 0.0

    def confirmed_lost(self, now: float) -> bool:
        """Return whether a quorum of daemons suspects the engine to be lost."""
        own_vote = 1 if self.suspected_lost and now < self.suspect_until else 0
        return own_vote + self.suspecting_peer_count >= SUSPICION_QUORUM


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A daemon's suspicion that an engine is lost; ``daemon`` is empty for this daemon's own.

    ``age_seconds`` is the time since the daemon was first known to suspect the engine, and
    ``report_age_seconds`` the time since it last said so.
    """

    daemon: str
    age_seconds: float
    report_age_seconds: float


@dataclass(slots=True)
class _PeerReport:
    received_at: float
    running_by_id: Mapping[str, int]
    requests_by_pool: Mapping[str, int]
    suspect_ids: list[str]
    suspected_since_by_id: dict[str, float]
    load_expired: bool = False


class EndpointLoads:
    """Tracks the load of every endpoint, from own requests and the reports of peers."""

    def __init__(self) -> None:
        self.load_by_id: dict[str, EndpointLoad] = {}
        self.daemon_count = 1
        self.own_requests_by_pool: Counter[str] = Counter()
        # Ordered by time of receipt, oldest first.
        self._report_by_peer: dict[str, _PeerReport] = {}

    def own_running_by_id(self) -> dict[str, int]:
        """Return the running requests of this daemon by endpoint id."""
        return {
            endpoint_id: load.own_requests
            for endpoint_id, load in self.load_by_id.items()
            if load.own_requests
        }

    def own_suspect_ids(self) -> list[str]:
        """Return the ids of the engines that this daemon suspects to be lost."""
        now = time.monotonic()
        return [
            endpoint_id
            for endpoint_id, load in self.load_by_id.items()
            if load.suspected_lost and now < load.suspect_until
        ]

    def confirmed_lost_ids(self) -> set[str]:
        """Return the ids of the engines that a quorum of daemons suspects to be lost."""
        now = time.monotonic()
        return {
            endpoint_id for endpoint_id, load in self.load_by_id.items() if load.confirmed_lost(now)
        }

    def suspicions_of(self, endpoint_id: str) -> list[Suspicion]:
        """Return the suspicions that an engine is lost, this daemon's own first."""
        now = time.monotonic()
        load = self.load_by_id.get(endpoint_id)
        suspicions = []
        if load is not None and load.suspected_lost and now < load.suspect_until:
            suspicions.append(Suspicion("", now - load.suspected_lost_since, 0.0))
        for name, report in self._report_by_peer.items():
            since = report.suspected_since_by_id.get(endpoint_id)
            if since is not None:
                suspicions.append(Suspicion(name, now - since, now - report.received_at))
        return suspicions

    def update_peer(
        self,
        name: str,
        running_by_id: Mapping[str, int],
        suspect_ids: list[str],
        requests_by_pool: Mapping[str, int] | None = None,
    ) -> None:
        """Replace the report of a peer: its running requests and its suspicions."""
        now = time.monotonic()
        previous = self._report_by_peer.get(name)
        since_by_id = previous.suspected_since_by_id if previous is not None else {}
        self.remove_peer(name)
        for endpoint_id in suspect_ids:
            self.get(endpoint_id).suspecting_peer_count += 1
        for endpoint_id, count in running_by_id.items():
            self.get(endpoint_id).peer_requests += count
        self._report_by_peer[name] = _PeerReport(
            now,
            running_by_id,
            requests_by_pool or {},
            suspect_ids,
            {endpoint_id: since_by_id.get(endpoint_id, now) for endpoint_id in suspect_ids},
        )

    def remove_peer(self, name: str) -> None:
        """Remove a peer's report from the totals."""
        report = self._report_by_peer.pop(name, None)
        if report is None:
            return
        for endpoint_id in report.suspect_ids:
            self.get(endpoint_id).suspecting_peer_count -= 1
        self._remove_load(report)

    def count_reporting_peers(self) -> int:
        """Return the number of peers whose load is known from a recent report."""
        return len(self._recent_reports())

    def min_running(self, endpoint_id: str) -> float:
        """Return the number of requests that an endpoint is very likely running for all daemons.

        The daemons without a recent report are assumed to use it like those with one, less the
        standard error of that estimate: a request of one peer says nothing about the others.
        """
        reporting_peers = self.count_reporting_peers()
        load = self.get(endpoint_id)
        unreporting_daemons = max(0, self.daemon_count - 1 - reporting_peers)
        certain_requests = load.peer_requests - math.sqrt(load.peer_requests)
        unreported = certain_requests * unreporting_daemons / max(1, reporting_peers)
        return load.own_requests + load.other_requests(time.monotonic(), unreported=unreported)

    def estimate_unreported_requests(self, pool: str) -> float:
        """Estimate the requests of a pool at daemons without a recent report.

        Each such daemon is assumed to hold the mean of the daemons with a report and of this one.
        """
        counts = [report.requests_by_pool.get(pool, 0) for report in self._recent_reports()]
        reporting_daemons = len(counts) + 1
        # The request being placed counts too: if one arrived here, others have arrived elsewhere.
        mean = (sum(counts) + self.own_requests_by_pool[pool] + 1) / (reporting_daemons + 1)
        return mean * max(0, self.daemon_count - reporting_daemons)

    def _recent_reports(self) -> list[_PeerReport]:
        """Return the reports with a current load, after removing what has expired."""
        now = time.monotonic()
        for name, report in list(self._report_by_peer.items()):
            if report.received_at < now - PEER_SUSPICION_TTL_SECONDS:
                self.remove_peer(name)
            elif report.received_at < now - PEER_LOAD_TTL_SECONDS:
                self._remove_load(report)
            else:
                break
        return [report for report in self._report_by_peer.values() if not report.load_expired]

    def _remove_load(self, report: _PeerReport) -> None:
        """Remove the running requests of a report from the totals; a second call does nothing."""
        if report.load_expired:
            return
        report.load_expired = True
        for endpoint_id, count in report.running_by_id.items():
            self.get(endpoint_id).peer_requests -= count

    def get(self, endpoint_id: str) -> EndpointLoad:
        """Return the load of an endpoint; an unknown endpoint gets an empty one."""
        load = self.load_by_id.get(endpoint_id)
        if load is None:
            load = self.load_by_id[endpoint_id] = EndpointLoad()
        return load

    def record_start(self, endpoint_id: str, tokens: float) -> None:
        """Count a request that this daemon sends to an endpoint."""
        load = self.get(endpoint_id)
        load.own_requests += 1
        load.own_tokens += tokens

    def record_end(self, endpoint_id: str, tokens: float) -> None:
        """Remove a finished request of this daemon from an endpoint's load."""
        load = self.get(endpoint_id)
        load.own_requests -= 1
        load.own_tokens -= tokens

    def record_reported_load(self, endpoint_id: str, running: int) -> None:
        """Record the running requests that an endpoint reported, those of this daemon included."""
        load = self.get(endpoint_id)
        load.reported_other_requests = max(0, running - load.own_requests)
        load.reported_at = time.monotonic()

    def record_unreachable(self, endpoint_id: str) -> float:
        """Avoid an engine that this daemon could not reach; return for how many seconds.

        Peers are not told: only the own link to the engine may have failed.
        """
        load = self.get(endpoint_id)
        load.end_expired_suspicion()
        load.failures += 1
        load.suspect_until = time.monotonic() + LOST_ENGINE_SUSPICION_SECONDS
        return LOST_ENGINE_SUSPICION_SECONDS

    def record_stalled(self, endpoint_id: str) -> float:
        """Record that another engine waits for an engine; return how many seconds it is avoided.

        It counts as lost once it has not run a request for longer than a healthy one is silent.
        """
        load = self.get(endpoint_id)
        now = time.monotonic()
        if not load.stalled_since or now - load.stalled_at > MAX_STALL_GAP_SECONDS:
            load.stalled_since = now
        load.stalled_at = now
        if load.stalled_seconds >= MIN_UNREACHABLE_SECONDS:
            return self.record_lost(endpoint_id)
        return self.record_unreachable(endpoint_id)

    def record_reachable(self, endpoint_id: str, *, full: bool) -> float:
        """Shorten the suspicion of an engine that accepts connections; return what is left of it.

        ``full``: it has refused a request, so it has only lacked memory.
        """
        load = self.get(endpoint_id)
        load.end_expired_suspicion()
        now = time.monotonic()
        if load.suspected_lost:
            return load.suspect_until - now
        load.suspect_until = now
        if full:
            load.failures = max(0, load.failures - 1)
            return self.record_overload(endpoint_id)
        seconds = _failure_suspicion_seconds(load.failures)
        load.suspect_until = now + seconds
        return seconds

    def record_lost(self, endpoint_id: str) -> float:
        """Suspect an engine to be lost, and tell peers so; return for how many seconds."""
        return self.record_failure(endpoint_id, suspected_lost=True)

    def record_failure(self, endpoint_id: str, *, suspected_lost: bool = False) -> float:
        """Record a failure and suspect the endpoint; return for how many seconds.

        The time doubles on each consecutive failure; ``suspected_lost`` marks an engine as lost
        instead, for a fixed time.
        """
        load = self.get(endpoint_id)
        load.end_expired_suspicion()
        load.failures += 1
        now = time.monotonic()
        if suspected_lost and not (load.suspected_lost and now < load.suspect_until):
            load.suspected_lost_since = now
        load.suspected_lost = load.suspected_lost or suspected_lost
        if suspected_lost:
            load.suspect_until = time.monotonic() + LOST_ENGINE_SUSPICION_SECONDS
            return LOST_ENGINE_SUSPICION_SECONDS
        seconds = _failure_suspicion_seconds(load.failures)
        load.suspect_until = time.monotonic() + seconds
        return seconds

    def forget_own_failures(self) -> None:
        """End all suspicions of this daemon, since its links to the endpoints were at fault."""
        for load in self.load_by_id.values():
            if load.failures:
                load.failures = 0
                load.suspected_lost = False
                load.suspect_until = 0.0

    def record_overload(self, endpoint_id: str) -> float:
        """Back off from an endpoint that refused a request; return for how many seconds.

        Requests that were sent at the same time and refused together count once.
        """
        load = self.get(endpoint_id)
        load.end_expired_suspicion()
        now = load.refused_at = time.monotonic()
        if now < load.suspect_until:
            return load.suspect_until - now
        seconds = min(
            MAX_OVERLOAD_BACKOFF_SECONDS, OVERLOAD_BACKOFF_SECONDS * 2**load.consecutive_overloads
        )
        load.consecutive_overloads += 1
        load.suspect_until = now + seconds
        return seconds

    def record_acceptance(self, endpoint_id: str, *, sent_at: float) -> None:
        """Record that an endpoint has begun to run a request that was sent at some time."""
        load = self.get(endpoint_id)
        if sent_at > load.refused_at:
            load.consecutive_overloads = 0
        if sent_at > load.stalled_at:
            load.stalled_since = 0.0

    def record_success(self, endpoint_id: str, *, sent_at: float = math.inf) -> bool:
        """Clear the failures of an endpoint; return whether there were any.

        An endpoint that leaves completes what it runs and refuses the rest, so a request that was
        sent before the last refusal does not end the backoff.
        """
        load = self.get(endpoint_id)
        had_failures = load.failures > 0
        load.failures = 0
        load.suspected_lost = False
        if sent_at > load.stalled_at:
            load.stalled_since = 0.0
        if sent_at > load.refused_at:
            load.consecutive_overloads = 0
            load.suspect_until = 0.0
        return had_failures

    def remove_unlisted(self, known_ids: set[str]) -> None:
        """Remove idle endpoints that are no longer registered."""
        for endpoint_id, load in list(self.load_by_id.items()):
            if endpoint_id not in known_ids and not (load.own_requests or load.peer_requests):
                del self.load_by_id[endpoint_id]


def _failure_suspicion_seconds(failures: int) -> float:
    return min(MAX_SUSPICION_SECONDS, INITIAL_SUSPICION_SECONDS * 2 ** max(0, failures - 1))
