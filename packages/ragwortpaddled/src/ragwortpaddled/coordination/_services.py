"""Forwards calls to plain services: repeatable ones with retries, the others at most once."""

import asyncio
import hashlib
import logging
import time
import uuid
from dataclasses import dataclass

from opentelemetry import trace

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._circuit_breakers import record_failure, record_success
from ragwortpaddled.coordination._endpoint_directory import EndpointDirectory
from ragwortpaddled.coordination._ledger import Ledger, RecordsMissingError
from ragwortpaddled.coordination._recovery import RetryBudget
from ragwortpaddled.coordination._shard_writer import LedgerUnavailableError
from ragwortpaddled.errors import NotSentError, ReplyLostError, TransportError
from ragwortpaddled.protocol import (
    ChangeResult,
    ChangeStatus,
    Completion,
    Executed,
    Intent,
    OperationRecord,
    Outcome,
    Refusal,
    ServiceCall,
    ServiceClient,
)
from ragwortpaddled.state import (
    MAX_KEY_BYTES,
    MAX_RECORDED_BODY_BYTES,
    Endpoint,
    Pool,
    Route,
    Team,
    operation_key,
    parse_key_timestamp,
)
from ragwortpaddled.transport import HttpReply

RETRY_AFTER_SECONDS = 1.0
STORE_RETRY_AFTER_SECONDS = 3.0
MAX_CLOCK_SKEW_SECONDS = 300.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """The team, route and pool of a call, all of the release in force when it arrived."""

    team: Team
    route: Route
    pool: Pool


class ServiceRouter:
    """Selects the endpoint with the fewest calls in flight from this daemon.

    Among equals it prefers endpoints of the own data centre.
    """

    def __init__(self, endpoint_directory: EndpointDirectory, data_centre: str) -> None:
        self._endpoint_directory = endpoint_directory
        self._data_centre = data_centre

    def select(self, pool: str, excluded: set[str]) -> Endpoint:
        """Return an endpoint of a pool that is not excluded.

        :raises Refusal: no endpoint of the pool is usable
        """
        now = time.monotonic()
        usable = [
            endpoint
            for endpoint in self._endpoint_directory.endpoints.in_pool(pool)
            if endpoint.usable(now) and endpoint.name not in excluded
        ]
        if not usable:
            raise Refusal(
                503,
                "no_endpoints",
                f"pool {pool} has no usable endpoint",
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        return min(usable, key=self._rank)

    def _rank(self, endpoint: Endpoint) -> tuple[int, bool]:
        return (endpoint.steps_in_flight, endpoint.vm.data_centre != self._data_centre)


class ServiceProxy:
    """Forwards calls to endpoints, with the retries or at-most-once execution of their routes."""

    def __init__(
        self,
        router: ServiceRouter,
        client: ServiceClient,
        ledger: Ledger,
        retry_budget: RetryBudget,
    ) -> None:
        self._router = router
        self._client = client
        self._ledger = ledger
        self._retry_budget = retry_budget
        self._operation_tasks: set[asyncio.Task[HttpReply]] = set()

    async def run_repeatable(self, target: ServiceTarget, call: ServiceCall) -> HttpReply:
        """Run a call that is safe to repeat, with retries within the team's retry budget.

        :raises Refusal: no endpoint is usable, the deadline passed, or the budget is spent
        """
        self._retry_budget.record_request(target.team.name)
        tried_endpoints: set[str] = set()
        executed = Executed.NO
        deadline = time.monotonic() + target.route.timeout_ms / 1000
        while True:
            endpoint = self._select_for_retry(target.pool.name, tried_endpoints, executed)
            try:
                return await self._send(endpoint, target, call, deadline)
            except TransportError as error:
                tried_endpoints.add(endpoint.name)
                if not isinstance(error, NotSentError):
                    executed = Executed.UNKNOWN
                deadline_passed = time.monotonic() >= deadline
                if deadline_passed or not self._retry_budget.try_acquire(target.team.name):
                    raise Refusal(
                        504 if deadline_passed else 502,
                        "endpoint_failed",
                        f"endpoint {endpoint.name} did not respond",
                        executed=executed,
                        retry_after_seconds=RETRY_AFTER_SECONDS,
                    ) from error

    async def run_at_most_once(
        self, target: ServiceTarget, call: ServiceCall, key: str
    ) -> HttpReply:
        """Run an operation at most once under its idempotency key, or return its recorded outcome.

        :raises Refusal: there is no outcome to return; ``executed`` states whether it ran
        """
        intent = _new_intent(target, call, key)
        with telemetry.tracer.start_as_current_span("ledger begin"):
            change_result = await self._begin(intent)
        if change_result.verdict is not ChangeStatus.GRANTED:
            return _replay_or_refuse(change_result)
        # If the caller disconnects, a started operation still runs until its outcome is recorded.
        task = asyncio.create_task(self._execute(target, call, intent))
        self._operation_tasks.add(task)
        task.add_done_callback(self._operation_tasks.discard)
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Wait until every operation has ended and its outcome is recorded."""
        while self._operation_tasks:
            await asyncio.wait(set(self._operation_tasks))
        await self._ledger.flush()

    async def _begin(self, intent: Intent) -> ChangeResult:
        try:
            return await self._ledger.record_intent(intent)
        except LedgerUnavailableError as error:
            if not isinstance(error, RecordsMissingError):
                # The intent may still have been written, so the attempt is recorded as not run.
                self._ledger.record_completion(_not_run_completion(intent))
            raise Refusal(
                503,
                "store_unavailable",
                "the operation was not started because its record cannot be written",
                retry_after_seconds=STORE_RETRY_AFTER_SECONDS,
            ) from error

    async def _execute(self, target: ServiceTarget, call: ServiceCall, intent: Intent) -> HttpReply:
        deadline = time.monotonic() + target.route.timeout_ms / 1000
        tried_endpoints: set[str] = set()
        while True:
            try:
                endpoint = self._router.select(target.pool.name, tried_endpoints)
            except Refusal:
                self._ledger.record_completion(_not_run_completion(intent))
                raise
            try:
                reply = await self._send(endpoint, target, call, deadline, intent.attempt)
            except NotSentError:
                # Nothing was sent to this endpoint, so the same attempt may go to another one.
                tried_endpoints.add(endpoint.name)
                continue
            except ReplyLostError as error:
                raise Refusal(
                    504,
                    "outcome_unknown",
                    f"endpoint {endpoint.name} did not respond; the operation may have run",
                    executed=Executed.UNKNOWN,
                ) from error
            self._ledger.record_completion(_done_completion(intent, reply))
            return reply

    async def _send(
        self,
        endpoint: Endpoint,
        target: ServiceTarget,
        call: ServiceCall,
        deadline: float,
        attempt: str = "",
    ) -> HttpReply:
        endpoint.steps_in_flight += 1
        endpoint.circuit.record_start(time.monotonic())
        timeout_seconds = max(0.001, deadline - time.monotonic())
        try:
            with telemetry.tracer.start_as_current_span(
                f"service {endpoint.name}",
                kind=trace.SpanKind.CLIENT,
                attributes={"endpoint": endpoint.name},
            ):
                reply = await self._client.call(
                    endpoint.vm.address, target.route.path, call, timeout_seconds, attempt
                )
        except TransportError as error:
            conclusive = isinstance(error, NotSentError)
            record_failure(endpoint, str(error), conclusive=conclusive)
            raise
        except BaseException:
            endpoint.circuit.cancel_probe()
            raise
        finally:
            endpoint.steps_in_flight -= 1
        record_success(endpoint)
        return reply

    def _select_for_retry(
        self, pool: str, tried_endpoints: set[str], executed: Executed
    ) -> Endpoint:
        try:
            return self._router.select(pool, tried_endpoints)
        except Refusal as refusal:
            refusal.executed = executed
            raise


def check_idempotency_key(route: Route, key: str, now: float) -> None:
    """Check an idempotency key against its route; ``now`` is in seconds of the Unix epoch.

    :raises Refusal: the key is missing, too long, not dated but must be, expired or in the future
    """
    if not key:
        raise Refusal(400, "key_required", f"route {route.name} needs an Idempotency-Key header")
    if len(key.encode()) > MAX_KEY_BYTES:
        raise Refusal(400, "key_too_long", f"the idempotency key exceeds {MAX_KEY_BYTES} bytes")
    key_time = parse_key_timestamp(key)
    if key_time is None:
        if route.dated_keys:
            raise Refusal(
                400,
                "key_not_dated",
                f"route {route.name} needs a UUID version 7 as idempotency key",
            )
        return
    if now - key_time > route.remember_s:
        raise Refusal(
            409,
            "key_expired",
            f"the idempotency key is older than the record retention of {route.remember_s} s",
            executed=Executed.UNKNOWN,
        )
    if key_time - now > MAX_CLOCK_SKEW_SECONDS:
        raise Refusal(
            400,
            "key_from_future",
            f"the idempotency key is more than {MAX_CLOCK_SKEW_SECONDS:.0f} s in the future",
        )


def _new_intent(target: ServiceTarget, call: ServiceCall, key: str) -> Intent:
    now = time.time()
    request_content = b"\0".join((call.method.encode(), call.path.encode(), call.body))
    return Intent(
        operation_key(target.team.name, target.route.name, key),
        uuid.uuid4().hex,
        hashlib.sha256(request_content).hexdigest()[:16],
        now,
        now + target.route.remember_s + MAX_CLOCK_SKEW_SECONDS,
    )


def _not_run_completion(intent: Intent) -> Completion:
    return Completion(
        intent.key, intent.attempt, intent.body_digest, time.time(), intent.expires_at
    )


def _done_completion(intent: Intent, reply: HttpReply) -> Completion:
    content_type = (reply.header(b"Content-Type") or b"").decode(errors="replace")
    body, body_omitted = _recordable_body(reply.body)
    outcome = Outcome(reply.status, content_type, body, body_omitted)
    return Completion(
        intent.key, intent.attempt, intent.body_digest, time.time(), intent.expires_at, outcome
    )


def _recordable_body(body: bytes) -> tuple[str, bool]:
    if len(body) > MAX_RECORDED_BODY_BYTES:
        return "", True
    try:
        return body.decode(), False
    except UnicodeDecodeError:
        return "", True


def _replay_or_refuse(change_result: ChangeResult) -> HttpReply:
    """Return the reply of a finished operation from its record.

    :raises Refusal: the key was used for another request, or no outcome is recorded
    """
    if change_result.verdict is ChangeStatus.KEY_REUSED:
        raise Refusal(422, "key_reused", "the idempotency key was used for a different request")
    if change_result.verdict is ChangeStatus.FINISHED and change_result.record is not None:
        return _replayed_reply(change_result.record)
    raise Refusal(
        409,
        "operation_in_doubt",
        "an attempt with this idempotency key is running, or its outcome is unknown",
        executed=Executed.UNKNOWN,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _replayed_reply(record: OperationRecord) -> HttpReply:
    outcome = record.outcome
    if outcome is None:
        raise Refusal(
            409, "operation_in_doubt", "the record has no outcome", executed=Executed.UNKNOWN
        )
    headers = [(b"Ragwortpaddle-Replayed", b"yes")]
    if outcome.content_type:
        headers.append((b"Content-Type", outcome.content_type.encode()))
    if outcome.body_omitted:
        headers.append((b"Ragwortpaddle-Body-Omitted", b"yes"))
    return HttpReply(outcome.status, tuple(headers), outcome.body.encode())
