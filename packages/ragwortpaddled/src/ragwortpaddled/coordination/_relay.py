"""Routes and authenticates each request, and refuses those that cannot be served."""

import random
import time
from urllib.parse import urlsplit

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._attempts import DEFAULT_RETRY_AFTER_SECONDS
from ragwortpaddled.coordination._crash_tracker import CrashTracker
from ragwortpaddled.coordination._dispatcher import Dispatcher
from ragwortpaddled.coordination._endpoint_client import EndpointClient
from ragwortpaddled.coordination._reach_monitor import ReachMonitor
from ragwortpaddled.coordination._relay_directory import RelayDirectory
from ragwortpaddled.coordination._relayed_request import RelayedRequest
from ragwortpaddled.coordination._request_log import log_request
from ragwortpaddled.coordination._stall_locator import StallLocator
from ragwortpaddled.errors import RefusedError
from ragwortpaddled.protocol import (
    Dialect,
    PathRoute,
    RelayConfig,
    RelayPool,
    RelayTeam,
    RequestMetadata,
)
from ragwortpaddled.state import DrainPlan, PoolRetryBudget, ResponseTimes, select_pool
from ragwortpaddled.transport import Responder, ServerRequest

# Callers that are refused because the daemon stops should come back at once, at another VM.
STOP_RETRY_AFTER_BOUNDS_SECONDS = (0.05, 0.25)


class Relay:
    """Serves each request with exactly one response: an endpoint's, an error or a refusal."""

    def __init__(
        self,
        relay_directory: RelayDirectory,
        dispatcher: Dispatcher,
        endpoint_client: EndpointClient,
        stall_locator: StallLocator,
        reach_monitor: ReachMonitor,
        crash_tracker: CrashTracker,
        retry_budget: PoolRetryBudget,
        dialect: Dialect,
        random_source: random.Random,
    ) -> None:
        self._relay_directory = relay_directory
        self._dispatcher = dispatcher
        self._endpoint_client = endpoint_client
        self._stall_locator = stall_locator
        self._reach_monitor = reach_monitor
        self._crash_tracker = crash_tracker
        self._retry_budget = retry_budget
        self._dialect = dialect
        self._random = random_source
        self._response_times = ResponseTimes()
        self._drain_plan: DrainPlan | None = None
        self._running: set[RelayedRequest] = set()

    def start_draining(self, plan: DrainPlan) -> None:
        """Refuse requests from now on that can't be expected to end in time."""
        self._drain_plan = plan

    def end_requests(self) -> None:
        """End the requests in flight, each with a response if none has started."""
        for request in list(self._running):
            request.end(self._stop_refusal("end of the grace period"))

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        """Serve one request; a cancellation means that the caller disconnected."""
        started_at = time.monotonic()
        metadata = self._dialect.parse_request_headers(request.headers)
        outcome = "left"
        try:
            outcome = await self._serve(request, metadata, responder, started_at)
        except RefusedError as refusal:
            outcome = f"refused {refusal.status}"
            await _send_refusal(responder, refusal)
            log_request(
                metadata,
                "request refused",
                status=refusal.status,
                reason=refusal.reason,
                config=self._relay_directory.config.version if self._relay_directory.config else 0,
                retry_after_ms=int(refusal.retry_after_seconds * 1000),
                since=started_at,
                **refusal.inputs,
            )
        except ConnectionError as error:
            if not (responder.started or responder.disconnected):
                outcome = "error"
                raise RuntimeError("unexpected connection error") from error
            outcome = "aborted"
            raise
        except Exception:
            outcome = "error"
            raise
        finally:
            telemetry.requests.add(1, {"outcome": outcome})
            telemetry.request_seconds.record(time.monotonic() - started_at, {"outcome": outcome})

    async def _serve(
        self, request: ServerRequest, metadata: RequestMetadata, responder: Responder, start: float
    ) -> str:
        config = self._relay_directory.config
        if config is None:
            raise RefusedError(503, "no configuration received yet", DEFAULT_RETRY_AFTER_SECONDS)
        route = self._match_route(request)
        team = _get_team(config, route, metadata)
        pool = config.pool_by_name.get(select_pool(route, self._random))
        if pool is None:
            raise RefusedError(503, f"pool of route {route.name} is not configured", 1.0)
        seconds = route.timeout_seconds
        if metadata.deadline_ms is not None:
            seconds = min(seconds, metadata.deadline_ms / 1000)
        deadline = start + seconds
        self._refuse_if_too_late(pool, deadline)
        relayed_request = RelayedRequest(
            dispatcher=self._dispatcher,
            endpoint_client=self._endpoint_client,
            stall_locator=self._stall_locator,
            reach_monitor=self._reach_monitor,
            crash_tracker=self._crash_tracker,
            retry_budget=self._retry_budget,
            request=request,
            metadata=metadata,
            responder=responder,
            route=route,
            pool=pool,
            team=team,
            started_at=start,
            deadline=deadline,
        )
        self._running.add(relayed_request)
        try:
            return await relayed_request.run()
        finally:
            self._running.discard(relayed_request)
            if relayed_request.may_have_run:
                self._response_times.record(pool.name, time.monotonic() - start)

    def _refuse_if_too_late(self, pool: RelayPool, deadline: float) -> None:
        """Refuse a request that the daemon can't expect to serve before it stops."""
        now = time.monotonic()
        plan = self._drain_plan
        if plan is None or self._response_times.can_serve(plan, pool.name, now, deadline):
            return
        expected_seconds = self._response_times.high_seconds(pool.name)
        raise self._stop_refusal(
            "shutting down",
            expected_ms=int(expected_seconds * 1000) if expected_seconds is not None else None,
            remaining_ms=int((plan.requests_until - now) * 1000),
        )

    def _stop_refusal(self, reason: str, **inputs: object) -> RefusedError:
        seconds = self._random.uniform(*STOP_RETRY_AFTER_BOUNDS_SECONDS)
        return RefusedError(503, reason, seconds, **inputs)

    def _match_route(self, request: ServerRequest) -> PathRoute:
        host = (request.header(b"host") or b"").decode("latin-1").partition(":")[0]
        try:
            path = urlsplit(request.target.decode("latin-1")).path
        except ValueError as error:
            raise RefusedError(400, "malformed request target") from error
        route = self._relay_directory.routes.match(host, path)
        if route is None:
            raise RefusedError(404, "no route matches the request's host and path")
        return route


def _get_team(config: RelayConfig, route: PathRoute, metadata: RequestMetadata) -> RelayTeam | None:
    if route.public or not config.has_teams:
        return None
    team = config.team_by_key.get(metadata.api_key)
    if team is None:
        raise RefusedError(401, "unknown API key")
    return team


async def _send_refusal(responder: Responder, refusal: RefusedError) -> None:
    headers = []
    if refusal.retry_after_seconds:
        headers.append((b"Retry-After", f"{refusal.retry_after_seconds:.2f}".encode()))
    await responder.send(refusal.status, headers, refusal.reason.encode())
