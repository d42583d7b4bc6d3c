"""Checks the invariants of the router on the records of callers and endpoints."""

from collections import defaultdict
from collections.abc import Callable, Collection

from ragwortpaddle_standins.relay_platform import EVENT_STREAM, attempt_id_of

from soak._callers import DEADLINE_SECONDS, RequestRecord
from soak._daemon import Daemon
from soak._faults import BREAKING_FAULTS, SHARED_FAULTS
from soak._installation import (
    DISTURBANCE_GRACE_SECONDS,
    MAX_WITHDRAWAL_LAG_SECONDS,
    OPTIONAL_ROUTE,
    Installation,
)
from soak._proxy import Cut

MAX_APPLY_SECONDS = 2.0  # the platform's limit on applying a published configuration
RESPONSE_SLACK_SECONDS = 0.5  # tolerated beyond the deadline
NOT_RUN_STATUSES = (408, 421, 429, 503)
CUT_RECOVERY_SECONDS = 3.0  # after the start of a cut; requests may be lost or held up until then
MIN_SERVED_RATIO = 2 / 3  # at a daemon that is cut off, of the share that the others serve
MAX_FAILED_REQUESTS = 10  # at daemons that are cut off, besides MAX_FAILED_SHARE
MAX_FAILED_SHARE = 1 / 50
MIN_COMPARED_REQUESTS = 30  # the shares of fewer requests say little


def find_violations(installation: Installation, records: list[RequestRecord]) -> list[str]:
    """Return a description of each violated invariant."""
    endpoint_ids_by_attempt = _group_endpoint_ids(installation)
    violations = []
    for record in records:
        violations += _find_response_violations(
            installation, record, endpoint_ids_by_attempt[record.attempt_id]
        )
        violations += _find_configuration_violations(installation, record)
        violations += _find_lost_request_violations(
            installation, record, endpoint_ids_by_attempt[record.attempt_id]
        )
    violations += _find_service_violations(installation, records)
    violations += _find_withdrawal_violations(installation, records)
    violations += [
        f"path does not run every layer once: {path}"
        for engine in installation.engines
        for path in engine.invalid_paths
    ]
    for daemon in installation.daemons:
        violations += [
            f"{daemon.name} exited unexpectedly or too late: {exit_text}"
            for exit_text in daemon.unexpected_exits
        ]
        if b"Traceback" in daemon.log.read_bytes():
            violations.append(f"{daemon.name} logged a traceback")
    return violations


def _group_endpoint_ids(installation: Installation) -> defaultdict[str, list[str]]:
    """Return the ids of the endpoints that recorded a request of each attempt."""
    endpoint_ids_by_attempt: defaultdict[str, list[str]] = defaultdict(list)
    for endpoint in installation.endpoints:
        for request in endpoint.received_requests:
            endpoint_ids_by_attempt[attempt_id_of(request)].append(endpoint.id)
    return endpoint_ids_by_attempt


def _find_response_violations(
    installation: Installation, record: RequestRecord, endpoint_ids: list[str]
) -> list[str]:
    """Check execution counts, the content of the response and the deadline of one request."""
    violations = []
    name = f"{record.route} {record.attempt_id} at {record.daemon.name}"
    if record.route in ("once", "book"):
        if len(endpoint_ids) > 1:
            violations.append(f"{name} ran at {endpoint_ids}")
        if endpoint_ids and record.status in NOT_RUN_STATUSES:
            violations.append(f"{name} was rejected with {record.status} and ran at {endpoint_ids}")
    if record.route in ("ask", "once") and record.status == 200:
        is_complete_but_wrong = record.complete and record.body != EVENT_STREAM
        if is_complete_but_wrong or not EVENT_STREAM.startswith(record.body):
            violations.append(f"{name} got wrong events {record.body!r}")
    if record.route in ("look", "book") and record.status == 200 and record.complete:
        responder_id = record.body.removeprefix(b"answer of ").decode()
        if responder_id not in endpoint_ids:
            violations.append(
                f"{name} got the response of {responder_id}, but ran at {endpoint_ids}"
            )
    if record.route != OPTIONAL_ROUTE and record.status in (401, 403, 404):
        violations.append(f"{name} was denied with {record.status}")
    elapsed_seconds = record.ended_at - record.sent_at
    undisturbed = record.daemon.disturbed_until < record.sent_at
    recently_cut = record.daemon.was_cut(record.sent_at - CUT_RECOVERY_SECONDS, record.ended_at)
    if undisturbed and not recently_cut and not record.status:
        violations.append(f"{name} ended without an answer: {record.failure_reason}")
    latest_end = record.sent_at + DEADLINE_SECONDS + RESPONSE_SLACK_SECONDS
    for span in record.daemon.cut_spans:
        if record.sent_at <= span.started_at <= record.ended_at:
            latest_end = max(latest_end, span.started_at + CUT_RECOVERY_SECONDS)
    if undisturbed and record.ended_at > latest_end:
        violations.append(
            f"{name} ended {elapsed_seconds:.2f} s after it was sent: {record.failure_reason}"
        )
    return violations


def _find_configuration_violations(installation: Installation, record: RequestRecord) -> list[str]:
    """Check that a request on the optional route matches a configuration in force.

    The route may be present or absent for MAX_APPLY_SECONDS after a change.
    """
    undisturbed = record.daemon.disturbed_until < record.sent_at
    if record.route != OPTIONAL_ROUTE or not undisturbed or not record.complete:
        return []
    states = [
        (changed_at, present)
        for changed_at, present in installation.optional_route_history
        if changed_at < record.ended_at
    ]
    settled_states = [
        present for changed_at, present in states if changed_at < record.sent_at - MAX_APPLY_SECONDS
    ]
    recent_states = [
        present
        for changed_at, present in states
        if changed_at >= record.sent_at - MAX_APPLY_SECONDS
    ]
    allowed_states = {*settled_states[-1:], *recent_states}
    if (record.status != 404) in allowed_states:
        return []
    name = f"{record.attempt_id} at {record.daemon.name}"
    return [f"{name} got {record.status}; allowed for the presence of the route: {allowed_states}"]


def _is_near_store_outage(installation: Installation, moment: float) -> bool:
    """Return whether the store was unavailable at a time or shortly before.

    Daemons are not required to follow a withdrawal that the store accepted then.
    """
    return any(
        started_at <= moment <= ended_at + DISTURBANCE_GRACE_SECONDS
        for started_at, ended_at in installation.store_outages
    )


def _find_withdrawal_violations(
    installation: Installation, records: list[RequestRecord]
) -> list[str]:
    """Check that no undisturbed daemon sends to an endpoint long after its withdrawal."""
    record_by_attempt = {record.attempt_id: record for record in records}
    violations = []
    for endpoint in installation.endpoints:
        if endpoint.withdrawn_at is None or _is_near_store_outage(
            installation, endpoint.withdrawn_at
        ):
            continue
        for request, received_at in zip(
            endpoint.received_requests, endpoint.received_at, strict=True
        ):
            lag_seconds = received_at - endpoint.withdrawn_at
            attempt_id = attempt_id_of(request)
            record = record_by_attempt.get(attempt_id)
            if (
                lag_seconds > MAX_WITHDRAWAL_LAG_SECONDS
                and record is not None
                and record.daemon.disturbed_until < received_at
                and not _was_held_up(installation, record, received_at)
            ):
                violations.append(
                    f"{record.daemon.name} sent {attempt_id} to {endpoint.id} "
                    f"{lag_seconds:.2f} s after its withdrawal"
                )
    return violations


def _list_involved_daemons(installation: Installation, record: RequestRecord) -> list[Daemon]:
    """Return the daemons that a request may have passed: all if its own was cut off meanwhile."""
    if record.daemon.was_cut(record.sent_at, record.ended_at):
        return installation.daemons
    return [record.daemon]


def _was_held_up(installation: Installation, record: RequestRecord, received_at: float) -> bool:
    """Return whether a cut may have delayed the arrival of a request that ran when it began."""
    return any(
        span.started_at <= received_at <= span.ended_at + CUT_RECOVERY_SECONDS
        and record.sent_at <= span.started_at + CUT_RECOVERY_SECONDS
        for daemon in _list_involved_daemons(installation, record)
        for span in daemon.cut_spans
    )


def _is_near_fault(
    installation: Installation,
    faults: Collection[Callable[..., object]],
    record: RequestRecord,
) -> bool:
    """Return whether one of some faults was present during a request or shortly before."""
    return any(
        fault in faults
        and started_at <= record.ended_at
        and record.sent_at <= ended_at + DISTURBANCE_GRACE_SECONDS
        for fault, started_at, ended_at in installation.fault_calls
    )


def _find_lost_request_violations(
    installation: Installation, record: RequestRecord, endpoint_ids: list[str]
) -> list[str]:
    """Check that a request that was read ends with a complete response.

    Excused are the deadline, endpoints that break requests off, disturbed daemons and, until
    CUT_RECOVERY_SECONDS after it, the start of a cut that silences or resets connections.
    """
    elapsed_seconds = record.ended_at - record.sent_at
    if record.complete or elapsed_seconds >= DEADLINE_SECONDS:
        return []
    was_read = record.status or endpoint_ids or record.daemon.has_logged(record.attempt_id)
    if not was_read or _is_near_fault(installation, BREAKING_FAULTS, record):
        return []
    for daemon in _list_involved_daemons(installation, record):
        if daemon.was_disturbed(record.sent_at, record.ended_at) or any(
            span.cut is not Cut.REFUSE
            and record.sent_at - CUT_RECOVERY_SECONDS <= span.started_at <= record.ended_at
            for span in daemon.cut_spans
        ):
            return []
    return [
        f"{record.route} {record.attempt_id} at {record.daemon.name} was lost "
        f"after {elapsed_seconds:.2f} s: {record.failure_reason}; it ran at {endpoint_ids}"
    ]


def compare_service(
    installation: Installation, records: list[RequestRecord]
) -> tuple[list[bool], list[bool]]:
    """Return for each request during a cut whether it was served, at cut-off daemons and others.

    Times in which anything else disturbs are left out, as are those without a calm daemon.
    """
    served: list[bool] = []
    served_elsewhere: list[bool] = []
    for record in records:
        time_span = (record.sent_at, record.ended_at)
        if (
            record.route == OPTIONAL_ROUTE
            or record.daemon.was_disturbed(*time_span)
            or _is_near_fault(installation, SHARED_FAULTS, record)
        ):
            continue
        recovered_daemons = [
            daemon
            for daemon in installation.daemons
            for span in daemon.cut_spans
            if span.started_at + CUT_RECOVERY_SECONDS <= record.sent_at <= span.ended_at
        ]
        calm_daemons = [
            daemon
            for daemon in installation.daemons
            if not daemon.was_disturbed(*time_span) and not daemon.was_cut(*time_span)
        ]
        is_served = record.complete and record.status == 200
        if record.daemon in recovered_daemons and calm_daemons:
            served.append(is_served)
        elif record.daemon in calm_daemons and recovered_daemons:
            served_elsewhere.append(is_served)
    return served, served_elsewhere


def _find_service_violations(installation: Installation, records: list[RequestRecord]) -> list[str]:
    """Check that callers of daemons that are cut off are served as those of the others are."""
    served, served_elsewhere = compare_service(installation, records)
    violations = []
    failed_count = len(served) - sum(served)
    if failed_count > MAX_FAILED_REQUESTS + len(served) * MAX_FAILED_SHARE:
        violations.append(f"{failed_count} of {len(served)} requests failed at daemons cut off")
    if min(len(served), len(served_elsewhere)) >= MIN_COMPARED_REQUESTS:
        share = sum(served) / len(served)
        share_elsewhere = sum(served_elsewhere) / len(served_elsewhere)
        if share < share_elsewhere * MIN_SERVED_RATIO:
            violations.append(
                f"daemons cut off served a share of {share:.2f}, others {share_elsewhere:.2f}"
            )
    return violations
