"""Routes, authenticates, dispatches and retries each request, and sends its single response."""

import asyncio
import logging
import random
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import urlsplit

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._dispatcher import Dispatcher, PlaceRequest, Target
from ragwortpaddled.coordination._fault_finder import FaultFinder
from ragwortpaddled.coordination._relay_exchange import Exchanger, Response
from ragwortpaddled.coordination._relay_fleet import RelayFleet
from ragwortpaddled.errors import (
    EndpointError,
    MaybeRunError,
    NoRoomError,
    NotRunError,
    RefusedError,
    ReplyLostError,
    StalledError,
)
from ragwortpaddled.protocol import (
    Dialect,
    PathRoute,
    RelayConfig,
    RelayPool,
    RelayTeam,
    Repeat,
    RequestFacts,
)
from ragwortpaddled.state import EventSplitter, PathDemand, SendBudget, pick_pool
from ragwortpaddled.transport import Responder, ServerRequest

# Callers abandon a stream that has not started within 2 s, whatever their deadline.
STREAM_WAIT_SECONDS = 1.2
MAX_WAIT_SHARE = 0.5  # of the time until the deadline; the rest is for processing
FIRST_EVENT_TIMEOUT_SECONDS = 1.5
EVENT_TIMEOUT_SECONDS = 0.7  # callers leave after 2 s without an event; a retry prefills first
MAX_SENDS = 4
# Of a route's target latency: a healthy endpoint responds within a quarter of it, so one that has
# used most of it is slow or down, and a retry can still be of use to the caller.
LATENCY_TARGET_SHARE = 0.8
MIN_RESPONSE_TIMEOUT_SECONDS = 0.15
DEFAULT_RETRY_AFTER_SECONDS = 0.5

T = TypeVar("T")

logger = logging.getLogger(__name__)


class Relay:
    """Serves each request with exactly one response: an endpoint's, an error or a refusal."""

    def __init__(
        self,
        fleet: RelayFleet,
        dispatcher: Dispatcher,
        exchanger: Exchanger,
        fault_finder: FaultFinder,
        budget: SendBudget,
        dialect: Dialect,
        random_source: random.Random,
    ) -> None:
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._exchanger = exchanger
        self._fault_finder = fault_finder
        self._budget = budget
        self._dialect = dialect
        self._random = random_source

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        """Serve one request; a cancellation means that the caller disconnected."""
        started_at = time.monotonic()
        facts = self._dialect.request_facts(request.headers)
        outcome = "left"
        try:
            outcome = await self._serve(request, facts, responder, started_at)
        except RefusedError as refusal:
            outcome = f"refused {refusal.status}"
            await _send_refusal(responder, refusal)
            _log(
                facts,
                "request refused",
                status=refusal.status,
                reason=refusal.reason,
                config=self._fleet.config.version if self._fleet.config else 0,
                retry_after_ms=int(refusal.retry_after_seconds * 1000),
                started_at=started_at,
                **refusal.inputs,
            )
        except asyncio.CancelledError:
            _log(facts, "caller disconnected", started_at=started_at)
            raise
        finally:
            telemetry.requests.add(1, {"outcome": outcome})
            telemetry.request_seconds.record(time.monotonic() - started_at, {"outcome": outcome})

    async def _serve(
        self, request: ServerRequest, facts: RequestFacts, responder: Responder, started_at: float
    ) -> str:
        config = self._fleet.config
        if config is None:
            raise RefusedError(503, "no configuration received yet", DEFAULT_RETRY_AFTER_SECONDS)
        route = self._match_route(request)
        team = _find_team(config, route, facts)
        pool = config.pool_by_name.get(pick_pool(route, self._random))
        if pool is None:
            raise RefusedError(503, f"pool of route {route.name} is not configured", 1.0)
        seconds = route.timeout_seconds
        if facts.deadline_ms is not None:
            seconds = min(seconds, facts.deadline_ms / 1000)
        return await _RelayedRequest(
            dispatcher=self._dispatcher,
            exchanger=self._exchanger,
            fault_finder=self._fault_finder,
            budget=self._budget,
            request=request,
            facts=facts,
            responder=responder,
            route=route,
            pool=pool,
            team=team,
            started_at=started_at,
            deadline=started_at + seconds,
        ).run()

    def _match_route(self, request: ServerRequest) -> PathRoute:
        host = (request.header(b"host") or b"").decode("latin-1").partition(":")[0]
        path = urlsplit(request.target.decode("latin-1")).path
        route = self._fleet.routes.match(host, path)
        if route is None:
            raise RefusedError(404, "no route matches the request's host and path")
        return route


@dataclass
class _RelayedRequest:
    """The attempts of one request; times are in seconds on the monotonic clock."""

    dispatcher: Dispatcher
    exchanger: Exchanger
    fault_finder: FaultFinder
    budget: SendBudget
    request: ServerRequest
    facts: RequestFacts
    responder: Responder
    route: PathRoute
    pool: RelayPool
    team: RelayTeam | None
    started_at: float
    deadline: float

    def __post_init__(self) -> None:
        self._splitter = EventSplitter()
        self._splitter.last_id = self.facts.last_event_id
        self._excluded_ids: set[str] = set()
        self._may_have_run = False
        self._possible_runs = 0

    async def run(self) -> str:
        """Retry until a response is sent; return the outcome for the request counter.

        :raises RefusedError: no endpoint ran the request
        """
        self.budget.note_request(self.pool.name)
        try:
            async with asyncio.timeout_at(_to_loop_time(self.deadline)):
                return await self._attempt_until_answered()
        except TimeoutError:
            return await self._end_with_error(504, "deadline exceeded")

    async def _attempt_until_answered(self) -> str:
        sends = 0
        while True:
            try:
                target = await self.dispatcher.acquire(self._dispatch_request())
            except RefusedError as refusal:
                if not self._may_have_run:
                    raise
                return await self._end_with_error(502, refusal.reason)
            sends += 1
            telemetry.place_wait_seconds.record(target.waited_seconds, {"pool": self.pool.name})
            try:
                await self._run_attempt(target)
                telemetry.attempts.add(1, {"result": "answered"})
                return "served"
            except NotRunError as error:
                self._record_failure(error, target)
            except MaybeRunError as error:
                self._record_failure(error, target)
                self._may_have_run = True
                self._possible_runs += 1
                if not self.route.repeatable:
                    return await self._end_with_error(502, error.reason)
            finally:
                self.dispatcher.release(target)
            if self._possible_runs >= self.route.max_attempts or sends >= MAX_SENDS:
                return await self._end_with_error(502, f"all {sends} attempts failed")
            if not self.budget.spend(self.pool.name):
                return await self._end_with_error(502, "retry budget exhausted")

    def _dispatch_request(self) -> PlaceRequest:
        now = time.monotonic()
        if self.route.repeat is Repeat.STREAM:
            wait = STREAM_WAIT_SECONDS - (0 if self.responder.started else now - self.started_at)
        else:
            wait = (self.deadline - now) * MAX_WAIT_SHARE
        priority = self.route.priority
        if self.team is not None and self.team.priority is not None:
            priority = self.team.priority
        return PlaceRequest(
            self.pool,
            PathDemand(self.facts.prompt_tokens, self.facts.expected_answer_tokens),
            priority,
            now + max(0.0, wait),
            self.deadline,
            frozenset(self._excluded_ids),
        )

    async def _run_attempt(self, target: Target) -> None:
        _log(
            self.facts,
            "attempt sent",
            endpoint=target.endpoint.id,
            path=[hop.endpoint_id for hop in target.path],
            considered=target.considered,
            expected_ms=int(target.cost_ms),
            waited_ms=int(target.waited_seconds * 1000),
            resume=self._splitter.last_id,
        )
        is_stream = self.route.repeat is Repeat.STREAM
        exchange = self.exchanger.send(
            self.request,
            self.facts,
            target,
            self.route,
            deadline=self.deadline,
            team=self.team.name if self.team else "",
            last_event_id=self._splitter.last_id,
        )
        if is_stream:
            response = await self._await_progress(exchange, FIRST_EVENT_TIMEOUT_SECONDS, target)
        else:
            response = await self._with_timeout(exchange, target)
        try:
            if is_stream and response.status < 300:
                await self._relay_stream(response, target)
            else:
                await self._relay_complete_response(response, target)
        except ReplyLostError as error:
            raise MaybeRunError(target.endpoint.id, str(error)) from error
        finally:
            response.close()
        self.dispatcher.record_success(target)

    async def _relay_complete_response(self, response: Response, target: Target) -> None:
        body = await response.read_all()
        if (
            response.status >= 500
            and self.route.repeatable
            and self._possible_runs + 1 < self.route.max_attempts
        ):
            raise MaybeRunError(target.endpoint.id, f"response status {response.status}")
        if self.responder.started:
            raise MaybeRunError(target.endpoint.id, f"status {response.status} to a resumed stream")
        await self.responder.send(response.status, response.headers, body)
        _log(self.facts, "response sent", status=response.status, started_at=self.started_at)

    async def _relay_stream(self, response: Response, target: Target) -> None:
        while True:
            data = await self._await_progress(response.read(), EVENT_TIMEOUT_SECONDS, target)
            if data is None:
                break
            events = self._splitter.feed(data)
            if events and not self.responder.started:
                telemetry.first_event_seconds.record(time.monotonic() - self.started_at)
                await self.responder.start(response.status, response.headers)
            await self.responder.write(events)
        if self._splitter.torn:
            raise MaybeRunError(target.endpoint.id, "stream ended in the middle of an event")
        if not self.responder.started:
            await self.responder.start(response.status, response.headers)
        await self.responder.finish()
        _log(self.facts, "response sent", status=response.status, started_at=self.started_at)

    async def _with_timeout(self, call: Coroutine[Any, Any, Response], target: Target) -> Response:
        """Time out a slow attempt of a safe request early enough to retry at another endpoint."""
        is_last = self._possible_runs + 1 >= self.route.max_attempts
        if self.route.repeat is not Repeat.SAFE or is_last:
            return await call
        seconds = max(MIN_RESPONSE_TIMEOUT_SECONDS, self.route.aim_seconds * LATENCY_TARGET_SHARE)
        try:
            async with asyncio.timeout(seconds):
                return await call
        except TimeoutError as error:
            raise MaybeRunError(target.endpoint.id, f"no response in {seconds:.2f} s") from error

    async def _await_progress(
        self, operation: Coroutine[Any, Any, T], seconds: float, target: Target
    ) -> T:
        """Await an operation of an attempt and check for a stall whenever it makes no progress.

        A stall that no engine causes means that a link or the fleet is busy. The request is then
        moved only to a path with free capacity; a retry on a full fleet would only add load.

        :raises StalledError: a retry is better than waiting
        """
        task = asyncio.create_task(operation)
        try:
            while not (await asyncio.wait([task], timeout=seconds))[0]:
                stalling_id = await self.fault_finder.locate_stall(target, self.facts.attempt_id)
                if task.done():
                    break
                self._mark_links_congested(target, stalling_id)
                if stalling_id or self._has_better_path(target):
                    raise StalledError(stalling_id or "", f"no progress for {seconds} s")
            return task.result()
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait([task])
            if not task.cancelled():
                # Mark the operation's error as retrieved; this method ends for another reason.
                task.exception()

    def _has_better_path(self, target: Target) -> bool:
        is_last = self._possible_runs + 1 >= self.route.max_attempts
        return not is_last and self.dispatcher.has_other_path(self._dispatch_request(), target)

    def _mark_links_congested(self, target: Target, stalling_id: str | None) -> None:
        if stalling_id:
            return
        for link in target.links:
            seconds = self.dispatcher.mark_congested(link)
            _log(self.facts, "link congested", link=sorted(link), avoided_ms=int(seconds * 1000))

    def _record_failure(self, error: EndpointError, target: Target) -> None:
        self._splitter.drop_partial()
        seconds = 0.0
        if isinstance(error, NoRoomError):
            seconds = target.loads.turn_away(error.endpoint)
        elif error.endpoint:
            self._excluded_ids.add(error.endpoint)
            blamed = isinstance(error, StalledError | NotRunError) and bool(target.path)
            seconds = target.loads.fail(error.endpoint, blamed=blamed)
        telemetry.attempts.add(1, {"result": type(error).__name__})
        _log(
            self.facts,
            "attempt failed",
            endpoint=error.endpoint,
            reason=error.reason,
            not_run=isinstance(error, NotRunError),
            suspect_ms=int(seconds * 1000),
            last_event=self._splitter.last_id,
            budget_left=int(self.budget.left(self.pool.name)),
        )

    async def _end_with_error(self, status: int, reason: str) -> str:
        """End with an error; a 503 guarantees that no endpoint ran the request."""
        if self.responder.started:
            _log(self.facts, "response aborted", reason=reason, started_at=self.started_at)
            raise ConnectionResetError(reason)
        if not self._may_have_run and status == 502:
            raise RefusedError(503, reason, DEFAULT_RETRY_AFTER_SECONDS)
        _log(self.facts, "request failed", status=status, reason=reason, started_at=self.started_at)
        await self.responder.send(status, [], reason.encode())
        return f"failed {status}"


def _find_team(config: RelayConfig, route: PathRoute, facts: RequestFacts) -> RelayTeam | None:
    if route.open_to_all or not config.has_teams:
        return None
    team = config.team_by_key.get(facts.api_key)
    if team is None:
        raise RefusedError(401, "unknown API key")
    return team


async def _send_refusal(responder: Responder, refusal: RefusedError) -> None:
    headers = []
    if refusal.retry_after_seconds:
        headers.append((b"Retry-After", f"{refusal.retry_after_seconds:.2f}".encode()))
    await responder.send(refusal.status, headers, refusal.reason.encode())


def _to_loop_time(monotonic: float) -> float:
    return asyncio.get_running_loop().time() + monotonic - time.monotonic()


def _log(facts: RequestFacts, event: str, *, started_at: float = 0.0, **fields: object) -> None:
    if not logger.isEnabledFor(logging.INFO):
        return
    if started_at:
        fields["ms"] = int((time.monotonic() - started_at) * 1000)
    logger.info(event, extra={"request_id": facts.attempt_id, "fields": fields})
