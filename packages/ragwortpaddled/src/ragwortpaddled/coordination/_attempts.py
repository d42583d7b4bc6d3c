"""What the attempts of one request may still use: sends, retries of the budget and capacity.

An attempt that may still succeed is given up only once another one has begun. Silence is no proof
of a fault, so a request that cannot go on elsewhere waits for the endpoint that it has. A request
that has begun and has no attempt left waits for what another one requires.
"""

import asyncio
import math
import time
from dataclasses import dataclass, field, replace
from typing import Any

from ragwortpaddled.coordination._crash_tracker import CrashTracker
from ragwortpaddled.coordination._dispatcher import Dispatcher, DispatchRequest, Target
from ragwortpaddled.coordination._endpoint_client import EndpointClient
from ragwortpaddled.coordination._reach_monitor import ReachMonitor
from ragwortpaddled.coordination._request_log import log_request
from ragwortpaddled.errors import (
    EndpointError,
    MaybeRunError,
    NotRunError,
    RefusedError,
    ResponseLostError,
    StalledError,
    UnreachableError,
    UnresponsiveError,
)
from ragwortpaddled.protocol import PathRoute, RelayPool, RelayTeam, RequestKind, RequestMetadata
from ragwortpaddled.state import (
    LOAN_SECONDS,
    PoolRetryBudget,
    RequestFingerprint,
    RequestSize,
    Retry,
)
from ragwortpaddled.transport import Responder

# Callers abandon a stream that has not started within 2 s, even if their deadline is later.
STREAM_WAIT_SECONDS = 1.2
MAX_WAIT_SHARE = 0.5  # of the time until the deadline; the rest is for processing
MAX_SENDS = 4  # of a request that no endpoint has begun to run
BUDGET_POLL_SECONDS = 0.05
# For a request that has begun:
QUEUE_ROUND_SECONDS = 0.5  # then the budget and the links are looked at again
QUEUE_HOLD_SECONDS = 1.0  # after its last run; then new requests may overtake it
LAST_RESORT_SECONDS = 0.5  # likewise; then it may go back to endpoints that were silent or full
REFUSAL_PAUSE_SECONDS = 0.025  # after a refused attempt; doubles with each consecutive one
MAX_REFUSAL_PAUSE_SECONDS = 1.6
BUDGET_EXHAUSTED = "retry budget exhausted"
# A round of loans takes a few exchanges between VMs; a refusal costs the caller more.
LOAN_WAIT_SECONDS = 0.4
DEFAULT_RETRY_AFTER_SECONDS = 0.5


@dataclass
class Attempts:
    """The attempts of one request; times are in seconds on the monotonic clock."""

    dispatcher: Dispatcher
    endpoint_client: EndpointClient
    crash_tracker: CrashTracker
    retry_budget: PoolRetryBudget
    metadata: RequestMetadata
    fingerprint: RequestFingerprint
    responder: Responder
    route: PathRoute
    pool: RelayPool
    team: RelayTeam | None
    started_at: float
    deadline: float
    reach_monitor: ReachMonitor
    sends: int = 0
    possible_runs: int = 0
    obstacle: str = ""  # what last kept the request from another attempt
    _failed_ids: set[str] = field(default_factory=set)  # endpoints that broke an attempt off
    _avoided_ids: set[str] = field(default_factory=set)  # silent, unreachable or full ones
    _consecutive_refusals: int = 0
    _last_run_ended_at: float = 0.0  # of the runs that may have taken place
    _arrivals: int = 0  # attempts that an endpoint may have received
    _replacement: Target | None = None
    _shortage_reported_at: dict[bool, float] = field(default_factory=dict)  # by begun

    @property
    def begun(self) -> bool:
        """Return whether an endpoint may have run the request in an earlier attempt."""
        return self.possible_runs > 0

    @property
    def exhausted(self) -> bool:
        """Return whether the request was sent as often as it may be."""
        if self.possible_runs >= self.route.max_attempts:
            return True
        return not self.begun and self.sends >= MAX_SENDS

    @property
    def may_replace_twice(self) -> bool:
        """Return whether two runs beside the current one are allowed."""
        return self.possible_runs + 2 < self.route.max_attempts

    @property
    def excluded_ids(self) -> set[str]:
        """Return the ids of the endpoints at which the request failed."""
        return self._failed_ids | self._avoided_ids

    async def start(self) -> Target:
        """Return the target of the next attempt, reserved with a retry unless it is the first.

        A request that has begun waits for it, until it is cancelled.

        :raises RefusedError: something that the attempt requires is not available, or the request
            is quarantined
        """
        target, self._replacement = self._replacement, None
        if target is None:
            target = await (self._wait_for_target() if self.begun else self._acquire())
        if not self.responder.started:
            # The request may have been quarantined while it was queued.
            try:
                self.crash_tracker.refuse_if_quarantined(self.fingerprint)
            except RefusedError:
                self._return_unused(target)
                raise
        self.sends += 1
        self.obstacle = ""
        return target

    def record_refused(self, refusal: RefusedError | None = None) -> None:
        """Record that no endpoint ran the last attempt, or that it was not sent for a refusal."""
        self._consecutive_refusals += 1
        if refusal is not None:
            self._record_waiting(refusal)

    def record_possible_run(self) -> None:
        """Record that an endpoint may have run the last attempt."""
        self._consecutive_refusals = 0
        self._last_run_ended_at = time.monotonic()
        self.possible_runs += 1

    def exclude(self, error: EndpointError) -> None:
        """Avoid the endpoint of a failed attempt in the next ones.

        An endpoint that was only silent, unreachable or full is used again if no other has room.
        """
        only_unavailable = isinstance(error, StalledError | NotRunError)
        (self._avoided_ids if only_unavailable else self._failed_ids).add(error.endpoint)

    def finish(self, target: Target) -> None:
        """Release an attempt's target, and its retry if no endpoint can have received it."""
        if target.may_have_received:
            self._arrivals += 1
            self.dispatcher.release(target)
        else:
            self._return_unused(target)

    def close(self) -> None:
        """Return what was reserved for an attempt that will not be sent."""
        if self._replacement is not None:
            self._return_unused(self._replacement)
            self._replacement = None

    async def secure_replacement(
        self, fault: MaybeRunError, target: Target, task: asyncio.Task[Any] | None = None
    ) -> bool:
        """Reserve all that another attempt requires; return whether the current one may end.

        The current attempt goes on meanwhile, and is kept if its task ends first.
        """
        obstacle = self._find_obstacle()
        if obstacle == BUDGET_EXHAUSTED and await self._await_retry(begun=True, unless=task):
            obstacle = self._find_obstacle()
        if not obstacle:
            replacement = await self._reserve_elsewhere(fault, target, task)
            if replacement is not None and (retry := self._take_retry(task)):
                replacement.retry = retry
                self._replacement = replacement
                return True
            if replacement is not None:
                self.dispatcher.release(replacement)
            obstacle = self._find_obstacle() or "no capacity elsewhere"
        if task is None or not task.done():
            self._record_kept(fault, target, obstacle)
        return False

    def record_endpoint_failure(self, error: EndpointError, target: Target) -> float:
        """Suspect an endpoint; return for how many seconds.

        Peers are told that it is lost only once that is verified: an engine that does not respond
        may be silent for a moment, and one that refuses a request late may lack memory.
        """
        if isinstance(error, UnreachableError | UnresponsiveError | ResponseLostError):
            self.reach_monitor.check_endpoint(target.endpoint)
            if target.path and not isinstance(error, ResponseLostError):
                return target.loads.record_unreachable(error.endpoint)
            return target.loads.record_failure(error.endpoint)
        if not (isinstance(error, StalledError | NotRunError) and target.path):
            return target.loads.record_failure(error.endpoint)
        refused = isinstance(error, NotRunError)
        self.reach_monitor.check_named_engine(error.endpoint, full=refused)
        if refused:
            return target.loads.record_unreachable(error.endpoint)
        load = target.loads.get(error.endpoint)
        known = load.suspected_lost
        seconds = target.loads.record_stalled(error.endpoint)
        if load.suspected_lost and not known:
            stalled_ms = int(load.stalled_seconds * 1000)
            log_request(
                self.metadata, "engine lost", endpoint=error.endpoint, stalled_ms=stalled_ms
            )
        return seconds

    @property
    def pause_seconds(self) -> float:
        """Return how long to wait before the next attempt after those that were refused."""
        if not self._consecutive_refusals:
            return 0.0
        pause = REFUSAL_PAUSE_SECONDS * 2 ** (self._consecutive_refusals - 1)
        return min(pause, MAX_REFUSAL_PAUSE_SECONDS)

    def suspect_silent_engine(self, fault: MaybeRunError, target: Target) -> None:
        """Let other requests avoid an engine that is silent while its attempt goes on."""
        silent = isinstance(fault, StalledError) and bool(fault.endpoint)
        if silent and not target.loads.get(fault.endpoint).suspect(time.monotonic()):
            self.record_endpoint_failure(fault, target)

    async def _wait_for_target(self) -> Target:
        """Return the next target of a request that has begun, waiting for what it lacks."""
        await asyncio.sleep(self.pause_seconds)
        while True:
            if not self.responder.started:
                await self.crash_tracker.admit(self.fingerprint)
            try:
                self.endpoint_client.refuse_without_links()
                return await self._reserve(self._begun_request())
            except RefusedError as refusal:
                self._record_waiting(refusal)
            await asyncio.sleep(BUDGET_POLL_SECONDS)

    async def _acquire(self) -> Target:
        self.endpoint_client.refuse_without_links()
        if not self.responder.started:
            await self.crash_tracker.admit(self.fingerprint)
        return await self._reserve(self._dispatch_request())

    async def _reserve(self, request: DispatchRequest) -> Target:
        is_retry = self._arrivals > 0
        if is_retry and not await self._await_retry(begun=self.begun):
            raise _budget_refusal()
        target = await self.dispatcher.acquire(request)
        if is_retry:
            target.retry = self.retry_budget.try_acquire(self.pool.name, begun=self.begun)
            if target.retry is None:
                self.dispatcher.release(target)
                raise _budget_refusal()
        return target

    async def _await_retry(self, *, begun: bool, unless: asyncio.Task[Any] | None = None) -> bool:
        """Wait a short time for a loan if the budget allows no retry; return whether it does.

        The wait ends if the task ``unless`` ends.
        """
        budget, pool = self.retry_budget, self.pool.name
        if budget.available(pool, begun=begun):
            return True
        self._report_shortage(begun=begun)
        wait_until = min(time.monotonic() + LOAN_WAIT_SECONDS, self.deadline)
        while budget.can_borrow and time.monotonic() < wait_until:
            await asyncio.sleep(BUDGET_POLL_SECONDS)
            if unless is not None and unless.done():
                return False
            if budget.available(pool, begun=begun):
                return True
        return False

    def _report_shortage(self, *, begun: bool) -> None:
        """Ask for one retry until a loan of it would expire, however often it is missed."""
        now = time.monotonic()
        if now - self._shortage_reported_at.get(begun, -math.inf) >= LOAN_SECONDS:
            self._shortage_reported_at[begun] = now
            self.retry_budget.report_shortage(self.pool.name, begun=begun)

    def _return_unused(self, target: Target) -> None:
        self.dispatcher.release(target)
        if target.retry is not None:
            self.retry_budget.give_back(target.retry)
            target.retry = None

    def _take_retry(self, task: asyncio.Task[Any] | None) -> Retry | None:
        """Consume a retry, unless the current attempt has made progress or none is allowed."""
        if (task is not None and task.done()) or self._find_obstacle():
            return None
        return self.retry_budget.try_acquire(self.pool.name, begun=True)

    async def _reserve_elsewhere(
        self, fault: MaybeRunError, target: Target, task: asyncio.Task[Any] | None
    ) -> Target | None:
        """Reserve capacity elsewhere, None if there is none in time or the task ends first.

        A stall that no engine causes means that a link or the fleet is busy. The request is then
        moved only if another path has capacity; a retry on a full fleet would only add load.
        """
        request = self._dispatch_request(fault.endpoint)
        unexplained = is_unexplained_stall(fault)
        if unexplained and not self.dispatcher.has_other_path(request, target):
            return None
        try:
            replacement = await self.dispatcher.acquire(request, unless=task)
        except RefusedError:
            return None
        if unexplained and replacement.path == target.path:
            self.dispatcher.release(replacement)
            return None
        return replacement

    def _find_obstacle(self) -> str:
        """Return what rules out another attempt beside the current one, empty if nothing does."""
        if not self.route.retryable:
            return "route is not retryable"
        if self.possible_runs + 1 >= self.route.max_attempts:
            return "last attempt"
        if not self.retry_budget.available(self.pool.name, begun=True):
            return BUDGET_EXHAUSTED
        if not self.responder.started and self.crash_tracker.suspects(self.fingerprint):
            return "suspected of crashes"
        return ""

    def _record_kept(self, fault: MaybeRunError, target: Target, obstacle: str) -> None:
        """Record that an attempt goes on."""
        self.suspect_silent_engine(fault, target)
        if obstacle == self.obstacle:
            return
        self.obstacle = obstacle
        log_request(
            self.metadata,
            "attempt kept",
            endpoint=fault.endpoint,
            reason=fault.reason,
            obstacle=obstacle,
            budget_left=int(self.retry_budget.remaining(self.pool.name)),
        )

    def _record_waiting(self, refusal: RefusedError) -> None:
        if refusal.reason == self.obstacle:
            return
        self.obstacle = refusal.reason
        log_request(
            self.metadata,
            "attempt deferred",
            obstacle=self.obstacle,
            since=self.started_at,
            **self.explain(),
            **refusal.inputs,
        )

    def explain(self) -> dict[str, object]:
        """Return what decides whether another attempt is possible, as fields of a log line."""
        return {
            "budget_left": int(self.retry_budget.remaining(self.pool.name)),
            "sends": self.sends,
            "possible_runs": self.possible_runs,
            "max_attempts": self.route.max_attempts,
            "remaining_ms": int((self.deadline - time.monotonic()) * 1000),
            "excluded": sorted(self.excluded_ids),
        }

    def _begun_request(self) -> DispatchRequest:
        now = time.monotonic()
        last_resort = now - self._last_run_ended_at >= LAST_RESORT_SECONDS
        return replace(
            self._dispatch_request(),
            queue_deadline=min(self.deadline, now + QUEUE_ROUND_SECONDS),
            begun=True,
            holds_queue_until=self._last_run_ended_at + QUEUE_HOLD_SECONDS,
            last_resort_excluded_ids=frozenset(self._failed_ids) if last_resort else None,
        )

    def _dispatch_request(self, failed_id: str = "") -> DispatchRequest:
        now = time.monotonic()
        if self.route.request_kind is RequestKind.STREAM:
            wait = STREAM_WAIT_SECONDS - (0 if self.responder.started else now - self.started_at)
        else:
            wait = (self.deadline - now) * MAX_WAIT_SHARE
        priority = self.route.priority
        if self.team is not None and self.team.priority is not None:
            priority = self.team.priority
        return DispatchRequest(
            self.pool,
            RequestSize(self.metadata.prompt_tokens, self.metadata.expected_answer_tokens),
            priority,
            now + max(0.0, wait),
            self.deadline,
            frozenset(self.excluded_ids | {failed_id}),
        )


def is_unexplained_stall(fault: MaybeRunError) -> bool:
    """Return whether neither an engine nor this VM's links explain a stall."""
    return isinstance(fault, StalledError) and not fault.endpoint


def _budget_refusal() -> RefusedError:
    return RefusedError(503, BUDGET_EXHAUSTED, DEFAULT_RETRY_AFTER_SECONDS)
