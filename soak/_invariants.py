"""Checks the invariants of the router on the records of callers and endpoints."""

from collections import defaultdict

from ragwortpaddle_standins.relay_platform import EVENT_STREAM, attempt_id_of

from soak._callers import DEADLINE_SECONDS, RequestRecord
from soak._installation import (
    DISTURBANCE_GRACE_SECONDS,
    MAX_WITHDRAWAL_LAG_SECONDS,
    OPTIONAL_ROUTE,
    Installation,
)

MAX_APPLY_SECONDS = 2.0  # the platform's limit on applying a published configuration
RESPONSE_SLACK_SECONDS = 0.5  # tolerated beyond the deadline
NOT_RUN_STATUSES = (408, 421, 429, 503)


def find_violations(installation: Installation, records: list[RequestRecord]) -> list[str]:
    """Return a description of each violated invariant."""
    endpoint_ids_by_attempt = _group_endpoint_ids(installation)
    violations = []
    for record in records:
        violations += _find_response_violations(
            installation, record, endpoint_ids_by_attempt[record.attempt_id]
        )
        violations += _find_configuration_violations(installation, record)
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
    if undisturbed and not record.status:
        violations.append(f"{name} ended without an answer: {record.failure_reason}")
    if undisturbed and elapsed_seconds > DEADLINE_SECONDS + RESPONSE_SLACK_SECONDS:
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
    daemon_by_attempt = {record.attempt_id: record.daemon for record in records}
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
            daemon = daemon_by_attempt.get(attempt_id)
            if (
                lag_seconds > MAX_WITHDRAWAL_LAG_SECONDS
                and daemon is not None
                and daemon.disturbed_until < received_at
            ):
                violations.append(
                    f"{daemon.name} sent {attempt_id} to {endpoint.id} "
                    f"{lag_seconds:.2f} s after its withdrawal"
                )
    return violations
