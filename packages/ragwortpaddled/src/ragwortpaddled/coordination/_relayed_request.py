"""The attempts of one request at endpoints, until its single response is sent."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._attempts import (
    DEFAULT_RETRY_AFTER_SECONDS,
    Attempts,
    is_unexplained_stall,
)
from ragwortpaddled.coordination._crash_tracker import CrashTracker
from ragwortpaddled.coordination._dispatcher import Dispatcher, Target
from ragwortpaddled.coordination._endpoint_client import Attempt, EndpointClient, Response
from ragwortpaddled.coordination._reach_monitor import ReachMonitor
from ragwortpaddled.coordination._request_log import log_request
from ragwortpaddled.coordination._stall_locator import StallLocator
from ragwortpaddled.errors import (
    EndpointError,
    LinksLostError,
    MaybeRunError,
    NoRoomError,
    NotRunError,
    RefusedError,
    ReplyLostError,
    ReplyTooLargeError,
    ResponseLostError,
    StalledError,
    UnresponsiveError,
)
from ragwortpaddled.protocol import PathRoute, RelayPool, RelayTeam, RequestKind, RequestMetadata
from ragwortpaddled.state import EventSplitter, PoolRetryBudget, fingerprint
from ragwortpaddled.transport import Responder, ServerRequest, loop_clock, wait_running

FIRST_EVENT_TIMEOUT_SECONDS = 1.5
EVENT_TIMEOUT_SECONDS = 0.7  # callers leave after 2 s without an event; a retry prefills first
LOST_LINK_SILENCE_SECONDS = 0.25
LINKS_LOST_REASON = "the links to the endpoints are lost"
MAX_EVENT_BYTES = 256 * 1024  # events have a few hundred bytes; bounds the memory per stream
# Of a route's target latency: a healthy endpoint responds within a quarter of it, so one that has
# used most of it is slow or down, and a retry can still be of use to the caller.
LATENCY_TARGET_SHARE = 0.8
MIN_TIMEOUT_SECONDS = 0.15

T = TypeVar("T")


@dataclass(slots=True)
class _Replacement:
    """An attempt that was sent beside a silent one."""

    target: Target
    exchange: asyncio.Task[Response]


@dataclass(eq=False)
class RelayedRequest:
    """The attempts of one request; times are in seconds on the monotonic clock."""

    dispatcher: Dispatcher
    endpoint_client: EndpointClient
    stall_locator: StallLocator
    reach_monitor: ReachMonitor
    crash_tracker: CrashTracker
    retry_budget: PoolRetryBudget
    request: ServerRequest
    metadata: RequestMetadata
    responder: Responder
    route: PathRoute
    pool: RelayPool
    team: RelayTeam | None
    started_at: float
    deadline: float

    def __post_init__(self) -> None:
        self._splitter = EventSplitter()
        self._splitter.last_id = self.metadata.last_event_id
        self._timeout: asyncio.Timeout | None = None
        self._end_refusal: RefusedError | None = None  # why the daemon ended the request early
        self._target: Target | None = None  # of an attempt that may still run the request
        self._replacement: _Replacement | None = None  # of the current attempt, beside it
        self._began = False  # the endpoint of the current attempt has begun to respond
        self._fingerprint = fingerprint(
            self.team.name if self.team else "",
            self.request.target,
            self.request.body,
            self.metadata.prompt_parts,
        )
        self._attempts = Attempts(
            self.dispatcher,
            self.endpoint_client,
            self.crash_tracker,
            self.retry_budget,
            self.metadata,
            self._fingerprint,
            self.responder,
            self.route,
            self.pool,
            self.team,
            self.started_at,
            self.deadline,
            self.reach_monitor,
        )

    async def run(self) -> str:
        """Retry until a response is sent; return the outcome for the request counter.

        :raises RefusedError: no endpoint ran the request
        """
        self.retry_budget.record_request(self.pool.name)
        try:
            async with asyncio.timeout_at(_to_loop_time(self.deadline)) as self._timeout:
                return await self._attempt_until_answered()
        except TimeoutError:
            return await self._end_expired()
        except asyncio.CancelledError:
            self._record_given_up("caller" if self.responder.disconnected else "daemon", "")
            raise
        except RefusedError:
            raise
        except Exception:
            if self.may_have_run:
                self.responder.failure_status = 502
            raise
        finally:
            if self._replacement is not None:
                await self._discard(self._replacement)
            self._attempts.close()

    def end(self, refusal: RefusedError) -> None:
        """End the request before its deadline.

        If its response has not started, the caller gets the refusal if no endpoint can have run the
        request, or 502.
        """
        if self._timeout is None or self._timeout.expired():
            return
        self._end_refusal = refusal
        self._timeout.reschedule(asyncio.get_running_loop().time())

    async def _end_expired(self) -> str:
        if self.responder.complete:
            return "served"  # the connection still sends it
        if self._end_refusal is None:
            return await self._end_with_error(504, "deadline exceeded")
        if not (self.may_have_run or self.responder.started):
            raise self._end_refusal
        return await self._end_with_error(502, self._end_refusal.reason)

    async def _attempt_until_answered(self) -> str:
        while True:
            replacement, self._replacement = self._replacement, None
            try:
                target = replacement.target if replacement else await self._start_attempt()
            except RefusedError as refusal:
                return await self._end_refused(refusal)
            self._target = target
            try:
                await self._run_attempt(target, replacement)
                telemetry.attempts.add(1, {"result": "answered"})
                return "served"
            except RefusedError as refusal:
                if not (self._attempts.begun or self._replacement):
                    return await self._end_refused(refusal)
                self._target = None
                self._attempts.record_refused(refusal)
            except NotRunError as error:
                self._target = None
                self._splitter.discard_partial()
                self._record_failure(error, target, self._began)
                self._attempts.record_refused()
            except MaybeRunError as error:
                self._splitter.discard_partial()
                self._record_failure(error, target, self._began)
                if isinstance(error, ResponseLostError) and not self._began:
                    await self._record_lost_response(target)
                self._attempts.record_possible_run()
                if not self.route.retryable:
                    self._attempts.obstacle = "route is not retryable"
                    return await self._end_with_error(502, error.reason)
            finally:
                self._attempts.finish(target)
            if self._attempts.exhausted and self._replacement is None:
                self._attempts.obstacle = "last attempt"
                reason = f"all {self._attempts.sends} attempts failed"
                return await self._end_with_error(502, reason)

    async def _start_attempt(self) -> Target:
        """Reserve and log the next attempt.

        :raises RefusedError: something that the attempt requires is not available
        """
        target = await self._attempts.start()
        telemetry.place_wait_seconds.record(target.waited_seconds, {"pool": self.pool.name})
        log_request(
            self.metadata,
            "attempt sent",
            content=self._fingerprint.content,
            prompt_parts=sorted(self._fingerprint.prompt_parts),
            endpoint=target.endpoint.id,
            path=[hop.endpoint_id for hop in target.path],
            considered=target.considered_count,
            expected_ms=int(target.cost_ms),
            waited_ms=int(target.waited_seconds * 1000),
            resume=self._splitter.last_id,
        )
        return target

    def _send(self, target: Target) -> Coroutine[Any, Any, Response]:
        attempt = Attempt(
            self.request,
            self.metadata,
            target,
            self.route,
            self.deadline,
            self.team.name if self.team else "",
            self._splitter.last_id,
        )
        return self.endpoint_client.send(attempt)

    async def _run_attempt(self, target: Target, replacement: _Replacement | None) -> None:
        self._began = False
        exchange = replacement.exchange if replacement else self._send(target)
        is_stream = self.route.request_kind is RequestKind.STREAM
        if is_stream:
            response = await self._await_progress(exchange, FIRST_EVENT_TIMEOUT_SECONDS, target)
        else:
            response = await self._await_response(exchange, target)
        try:
            if is_stream and response.status < 300:
                await self._relay_stream(response, target)
            else:
                await self._relay_complete_response(response, target)
        except ReplyTooLargeError as error:
            raise MaybeRunError(target.endpoint.id, str(error)) from error
        except ReplyLostError as error:
            raise ResponseLostError(target.endpoint.id, str(error)) from error
        finally:
            response.close()
        self.dispatcher.record_success(target)

    async def _record_lost_response(self, target: Target) -> None:
        crashed = await self.crash_tracker.record_lost_response(target.endpoint, self._fingerprint)
        log_request(
            self.metadata,
            "endpoint crashed" if crashed else "connection lost",
            endpoint=target.endpoint.id,
            content=self._fingerprint.content,
            prompt_parts=sorted(self._fingerprint.prompt_parts),
        )

    def _record_began(self, target: Target) -> None:
        self._began = True
        self.crash_tracker.record_run(target.endpoint, self._fingerprint, target.reserved_at)

    async def _relay_complete_response(self, response: Response, target: Target) -> None:
        self._record_began(target)
        body = await response.read_all()
        if response.status >= 500:
            self.dispatcher.release(target)
            error = MaybeRunError(target.endpoint.id, f"response status {response.status}")
            if await self._attempts.secure_replacement(error, target):
                raise error
        if self.responder.started:
            raise MaybeRunError(target.endpoint.id, f"status {response.status} to a resumed stream")
        await self.responder.send(response.status, response.headers, body)
        log_request(self.metadata, "response sent", status=response.status, since=self.started_at)

    async def _relay_stream(self, response: Response, target: Target) -> None:
        while True:
            events = await self._await_progress(
                self._read_events(response, target), EVENT_TIMEOUT_SECONDS, target
            )
            if events is None:
                break
            if not self._began:
                self._record_began(target)
                self.dispatcher.record_acceptance(target)
            if not self.responder.started:
                telemetry.first_event_seconds.record(time.monotonic() - self.started_at)
                await self.responder.start(response.status, response.headers)
            await self.responder.write(events)
        if self._splitter.has_partial:
            raise MaybeRunError(target.endpoint.id, "stream ended in the middle of an event")
        if response.ends_with_connection and not self._began:
            raise ResponseLostError(target.endpoint.id, "connection closed before the first event")
        if not self.responder.started:
            await self.responder.start(response.status, response.headers)
        await self.responder.finish()
        log_request(self.metadata, "response sent", status=response.status, since=self.started_at)

    async def _read_events(self, response: Response, target: Target) -> bytes | None:
        """Return the next complete events, None at the end of the stream.

        Bytes that complete no event are no progress, so a sender of single bytes counts as stalled.
        """
        while (data := await response.read()) is not None:
            events = self._splitter.feed(data)
            response.retain(self._splitter.partial_bytes)
            if events:
                return events
            if self._splitter.partial_bytes > MAX_EVENT_BYTES:
                reason = f"event exceeds {MAX_EVENT_BYTES} bytes"
                raise MaybeRunError(target.endpoint.id, reason)
        return None

    async def _await_response(
        self, call: Coroutine[Any, Any, Response] | asyncio.Task[Response], target: Target
    ) -> Response:
        """Replace a slow attempt of a safe request early enough for a retry to be of use."""
        if self.route.request_kind is not RequestKind.SAFE:
            return await call
        limit = max(MIN_TIMEOUT_SECONDS, self.route.target_latency_seconds * LATENCY_TARGET_SHARE)

        async def locate_fault() -> MaybeRunError:
            if self._uses_lost_links(target):
                return LinksLostError("", LINKS_LOST_REASON)
            return UnresponsiveError(target.endpoint.id, f"no response in {limit:.2f} s")

        return await self._await_unless_replaced(call, limit, target, locate_fault)

    async def _await_progress(
        self,
        operation: Coroutine[Any, Any, T] | asyncio.Task[T],
        seconds: float,
        target: Target,
    ) -> T:
        """Await an operation of an attempt and locate the fault whenever it makes no progress."""

        async def locate_fault() -> MaybeRunError:
            stall = await self.stall_locator.locate_stall(target, self.metadata.attempt_id)
            if stall.links_lost:
                return LinksLostError("", LINKS_LOST_REASON)
            if not stall.endpoint_id and self._splitter.has_partial:
                # Only the first engine writes to this connection, so no other can be at fault.
                return MaybeRunError(target.endpoint.id, f"no complete event for {seconds} s")
            error_type = UnresponsiveError if stall.unresponsive else StalledError
            return error_type(stall.endpoint_id, f"no progress for {seconds} s")

        return await self._await_unless_replaced(operation, seconds, target, locate_fault)

    async def _await_unless_replaced(
        self,
        operation: Coroutine[Any, Any, T] | asyncio.Task[T],
        seconds: float,
        target: Target,
        locate_fault: Callable[[], Awaitable[MaybeRunError]],
    ) -> T:
        """Await an operation; try to replace the attempt whenever it makes no progress for a time.

        Silence alone does not end an attempt: its endpoint may still answer.

        :raises MaybeRunError: the attempt is given up, and its replacement has begun
        """
        task = asyncio.ensure_future(operation)
        wait_seconds = seconds
        try:
            while not await self._ends_in_time(task, wait_seconds, target):
                wait_seconds = seconds
                fault = await locate_fault()
                if task.done():
                    break
                if is_unexplained_stall(fault):
                    self._mark_links_congested(target)
                if await self._attempts.secure_replacement(fault, target, task):
                    if await self._begin_replacement(task):
                        raise fault
                    self._attempts.suspect_silent_engine(fault, target)
                    wait_seconds = self._attempts.pause_seconds or seconds
            return task.result()
        except asyncio.CancelledError:
            _close_response(task)
            raise
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait([task])
            if not task.cancelled():
                # Mark the operation's error as retrieved; this method ends for another reason.
                task.exception()

    async def _begin_replacement(self, task: asyncio.Task[Any]) -> bool:
        """Send the secured replacement; return whether it takes the place of the current attempt.

        It does so once its endpoint has begun to respond, or is silent, too, and a third one may be
        tried, or once the current attempt fails. If its endpoint refuses it, or the current attempt
        makes progress first, it ends.
        """
        try:
            target = await self._start_attempt()
        except RefusedError as refusal:
            self._attempts.record_refused(refusal)
            return False
        exchange = asyncio.create_task(self._send(target))
        self._replacement = _Replacement(target, exchange)
        takes_place = False
        try:
            await asyncio.wait(
                [task, exchange],
                timeout=FIRST_EVENT_TIMEOUT_SECONDS if self._attempts.may_replace_twice else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done():
                takes_place = task.exception() is not None
                return False
            takes_place = not exchange.done() or await self._is_usable(exchange, target)
            return takes_place
        finally:
            if not takes_place:
                await self._discard(self._replacement)

    async def _is_usable(self, exchange: asyncio.Task[Response], target: Target) -> bool:
        """Return whether a replacement has begun to respond; record its failure if it has not."""
        try:
            status = exchange.result().status
            if status >= 500 or (self.responder.started and status >= 300):
                raise MaybeRunError(target.endpoint.id, f"response status {status}")
            return True
        except RefusedError as refusal:
            self._attempts.record_refused(refusal)
        except NotRunError as error:
            target.not_run = True
            self._record_failure(error, target, began=False)
            self._attempts.record_refused()
        except MaybeRunError as error:
            self._record_failure(error, target, began=False)
            if isinstance(error, ResponseLostError):
                await self._record_lost_response(target)
        return False

    async def _discard(self, replacement: _Replacement) -> None:
        """Cancel an attempt that does not take the place of the current one."""
        self._replacement = None
        exchange, target = replacement.exchange, replacement.target
        exchange.cancel()
        try:
            await asyncio.wait([exchange])
        finally:  # also if the caller leaves while the request is ended for another reason
            _close_response(exchange)
            if target.may_have_received and not target.not_run:
                self._attempts.record_possible_run()
            self._attempts.finish(target)

    async def _ends_in_time(self, task: asyncio.Task[T], seconds: float, target: Target) -> bool:
        """Return whether a task ends in time; wait less if it uses links that are being lost."""
        started_at = loop_clock().time()
        waited: list[asyncio.Future[Any]] = [task]
        if not (self.reach_monitor.cut or target.peer):
            waited.append(self.reach_monitor.links_lost)
        await wait_running(waited, seconds)
        elapsed_seconds = loop_clock().time() - started_at
        if not task.done() and elapsed_seconds < min(seconds, LOST_LINK_SILENCE_SECONDS):
            # An existing connection may outlast the loss of the links.
            await wait_running([task], LOST_LINK_SILENCE_SECONDS - elapsed_seconds)
        return task.done()

    def _uses_lost_links(self, target: Target) -> bool:
        return self.reach_monitor.cut and not target.peer and target.may_have_received

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have run the request, or may be running it."""
        targets = [self._target, self._replacement.target if self._replacement else None]
        in_progress = any(target is not None and target.may_have_received for target in targets)
        return self._attempts.begun or in_progress

    def _mark_links_congested(self, target: Target) -> None:
        for link in target.links:
            seconds = self.dispatcher.mark_congested(link)
            log_request(
                self.metadata, "link congested", link=sorted(link), avoided_ms=int(seconds * 1000)
            )

    def _record_failure(self, error: EndpointError, target: Target, began: bool) -> None:
        seconds = 0.0
        links_lost = self.reach_monitor.cut and not target.peer
        if isinstance(error, NoRoomError):
            seconds = target.loads.record_overload(error.endpoint)
        elif target.peer and not isinstance(error, NotRunError) and not _is_reported(error):
            # The peer, or the link to it, is as likely at fault as the endpoint.
            self.endpoint_client.record_peer_failure(target.peer)
        elif error.endpoint and not links_lost:
            self._attempts.exclude(error)
            seconds = self._attempts.record_endpoint_failure(error, target)
        telemetry.attempts.add(1, {"result": type(error).__name__})
        log_request(
            self.metadata,
            "attempt failed",
            endpoint=error.endpoint,
            reason=error.reason,
            not_run=isinstance(error, NotRunError),
            began=began,
            suspect_ms=int(seconds * 1000),
            peer=target.peer,
            links_lost=links_lost,
            last_event=self._splitter.last_id,
            budget_left=int(self.retry_budget.remaining(self.pool.name)),
        )

    async def _end_refused(self, refusal: RefusedError) -> str:
        """Pass on a refusal, unless an endpoint may have run the request before.

        :raises RefusedError: no endpoint ran the request
        """
        if not self.may_have_run:
            raise refusal
        return await self._end_with_error(502, refusal.reason)

    def _record_given_up(self, decided_by: str, reason: str) -> None:
        """Log what ruled out going on with a request that an endpoint may have run."""
        if not self.may_have_run or self.responder.complete:
            return
        log_request(
            self.metadata,
            "request given up",
            decided_by=decided_by,
            reason=reason,
            obstacle=self._attempts.obstacle,
            response="started" if self.responder.started else "not started",
            since=self.started_at,
            **self._attempts.explain(),
        )

    async def _end_with_error(self, status: int, reason: str) -> str:
        """End with an error; a 503 guarantees that no endpoint ran the request."""
        self._record_given_up("daemon", reason)
        if self.responder.started:
            raise ConnectionResetError(reason)
        if not self.may_have_run and status == 502:
            raise RefusedError(503, reason, DEFAULT_RETRY_AFTER_SECONDS)
        log_request(
            self.metadata, "request failed", status=status, reason=reason, since=self.started_at
        )
        await self.responder.send(status, [], reason.encode())
        return f"failed {status}"


def _is_reported(error: EndpointError) -> bool:
    """Return whether an engine has named the one at fault."""
    return isinstance(error, StalledError) and not isinstance(error, UnresponsiveError)


def _close_response(task: asyncio.Task[Any]) -> None:
    """Close a response that arrived in the moment in which its request was cancelled."""
    if task.done() and not task.cancelled() and task.exception() is None:
        response = task.result()
        if isinstance(response, Response):
            response.close()


def _to_loop_time(monotonic: float) -> float:
    return asyncio.get_running_loop().time() + monotonic - time.monotonic()
