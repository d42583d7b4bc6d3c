"""Admission control for the pools of endpoints.

The capacity of a pool is divided fairly between teams, and the quota of a team between the daemons
that receive its requests. A request that is unlikely to be admitted in time is refused at once.
Within a team and priority, short requests are admitted before long ones.
"""

import asyncio
import random
import time
from collections import defaultdict, deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.coordination._limits import DecayingRate, TeamLimits
from ragwortpaddled.protocol import DEMAND_KEY, Demand, Refusal, TeamPoolDemand, encode_value
from ragwortpaddled.state import (
    EndpointTable,
    Pool,
    Release,
    ShareDemand,
    Team,
    local_share,
    max_min_shares,
)

DEMAND_PUBLISH_INTERVAL_SECONDS = 0.5
QUOTA_REFRESH_INTERVAL_SECONDS = 0.1
MAX_SERVICE_REQUESTS_PER_ENDPOINT = 256
PIPELINE_OVERLAP_FACTOR = 2.0
LONG_REQUEST_TOKENS = 512
MAX_LONG_FRACTION = 0.6  # of a quota, so that long requests leave slots for short ones
DEFAULT_SERVICE_TIME_SECONDS = 0.5
SERVICE_TIME_SMOOTHING_FACTOR = 0.2
MAX_EXPECTED_WAIT_FRACTION = 0.5
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0


@dataclass(slots=True, eq=False)
class _QueuedRequest:
    """A request that waits for a concurrency slot."""

    team: str
    priority: int
    is_long: bool
    queued_at: float
    admitted: asyncio.Future[None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


@dataclass(slots=True)
class _TeamUsage:
    """The running and queued requests of one team in one pool at this daemon."""

    running: int = 0
    running_long: int = 0
    queue: deque[_QueuedRequest] = field(default_factory=deque)
    weighted_completed: float = 0.0
    requests: DecayingRate = field(default_factory=DecayingRate)
    tokens: DecayingRate = field(default_factory=DecayingRate)
    service_seconds: float = DEFAULT_SERVICE_TIME_SECONDS
    admission_times: list[float] = field(default_factory=list)


class PoolAdmissionController:
    """Controls how many requests of one pool run at once at this daemon."""

    def __init__(self, name: str, fleet_view: FleetView, endpoints: EndpointTable) -> None:
        self.name = name
        self._fleet_view = fleet_view
        self._endpoints = endpoints
        self._usage_by_team: defaultdict[str, _TeamUsage] = defaultdict(_TeamUsage)
        self._quota_by_team: dict[str, float] = {}
        self._quotas_refreshed_at = -1.0
        self._release: Release | None = None

    def demand(self) -> list[TeamPoolDemand]:
        """Return the demand of each active team, to be published to the other daemons."""
        lines = []
        for team, usage in self._usage_by_team.items():
            requests = round(usage.requests.value(), 1)
            if usage.running or usage.queue or requests:
                tokens = round(usage.tokens.value())
                lines.append(
                    TeamPoolDemand(
                        team, self.name, usage.running, len(usage.queue), requests, tokens
                    )
                )
        return lines

    def record_tokens(self, team: str, count: int) -> None:
        """Add the number of tokens generated for a team to its token rate."""
        self._usage_by_team[team].tokens.add(count)

    @asynccontextmanager
    async def slot(
        self,
        release: Release,
        team: Team,
        priority: int,
        expected_tokens: int,
        max_wait_seconds: float,
    ) -> AsyncIterator[None]:
        """Hold a concurrency slot of the pool while the context is entered.

        :raises Refusal: no slot became free, or is expected to, within ``max_wait_seconds``
        """
        self._release = release
        usage = self._usage_by_team[team.name]
        usage.requests.add(1)
        is_long = expected_tokens > LONG_REQUEST_TOKENS
        await self._wait_for_slot(usage, team, priority, is_long, max_wait_seconds)
        admitted_at = time.monotonic()
        usage.admission_times.append(admitted_at)
        try:
            yield
        finally:
            usage.running -= 1
            usage.running_long -= is_long
            elapsed = time.monotonic() - admitted_at
            usage.service_seconds += SERVICE_TIME_SMOOTHING_FACTOR * (
                elapsed - usage.service_seconds
            )
            usage.admission_times.remove(admitted_at)
            usage.weighted_completed += 1.0 / team.weight
            self.admit_queued()

    def admit_queued(self) -> None:
        """Admit queued requests while their teams have free slots."""
        self._refresh_quotas()
        while True:
            usage = self._select_next_team()
            if usage is None:
                return
            queued = self._dequeue(usage)
            if queued.admitted.done():
                continue
            usage.running += 1
            usage.running_long += queued.is_long
            queued.admitted.set_result(None)

    async def _wait_for_slot(
        self, usage: _TeamUsage, team: Team, priority: int, is_long: bool, max_wait_seconds: float
    ) -> None:
        queued = _QueuedRequest(team.name, priority, is_long, time.monotonic())
        usage.queue.append(queued)
        self._quotas_refreshed_at = -1.0
        self.admit_queued()
        if queued.admitted.done():
            return
        expected_seconds = self._estimate_wait_seconds(usage, team.name)
        if expected_seconds > max_wait_seconds * MAX_EXPECTED_WAIT_FRACTION:
            # The estimate is imprecise, and the first token takes time after admission, so only a
            # part of the limit may be spent in the queue.
            usage.queue.remove(queued)
            raise self._overload_refusal(expected_seconds)
        try:
            async with asyncio.timeout(max_wait_seconds):
                await asyncio.shield(queued.admitted)
        except TimeoutError:
            if queued.admitted.done():
                return
            usage.queue.remove(queued)
            raise self._overload_refusal(self._estimate_wait_seconds(usage, team.name)) from None
        except asyncio.CancelledError:
            self._cancel_wait(usage, queued)
            raise

    def _cancel_wait(self, usage: _TeamUsage, queued: _QueuedRequest) -> None:
        if queued.admitted.done():
            usage.running -= 1
            usage.running_long -= queued.is_long
            self.admit_queued()
        else:
            usage.queue.remove(queued)

    def _estimate_wait_seconds(self, usage: _TeamUsage, team: str) -> float:
        quota = max(1.0, self._quota_by_team.get(team, 1.0))
        # The age of running requests reveals a slowdown before any of them has completed.
        now = time.monotonic()
        ages = [now - admitted_at for admitted_at in usage.admission_times]
        mean_age = sum(ages) / len(ages) if ages else 0.0
        return len(usage.queue) * max(usage.service_seconds, 2 * mean_age) / quota

    @staticmethod
    def _overload_refusal(seconds: float) -> Refusal:
        bounded = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
        return Refusal(
            503,
            "overloaded",
            f"the pool is overloaded: the expected wait for capacity is {seconds:.1f} s",
            retry_after_seconds=bounded * random.uniform(1.0, 1.5),
        )

    def _select_next_team(self) -> _TeamUsage | None:
        """Return the usage of the team to admit from: highest priority, then least served."""
        best: _TeamUsage | None = None
        best_rank = (0, 0.0)
        for team, usage in self._usage_by_team.items():
            if not usage.queue or usage.running >= max(1.0, self._quota_by_team.get(team, 1.0)):
                continue
            if self._only_long_queued(usage) and self._long_limit_reached(usage, team):
                continue
            candidate = (
                -max(item.priority for item in usage.queue),
                usage.weighted_completed + usage.running,
            )
            if best is None or candidate < best_rank:
                best, best_rank = usage, candidate
        return best

    def _dequeue(self, usage: _TeamUsage) -> _QueuedRequest:
        """Remove and return a team's next request: by priority, then short before long."""
        chosen = min(usage.queue, key=lambda item: (-item.priority, item.is_long, item.queued_at))
        usage.queue.remove(chosen)
        return chosen

    @staticmethod
    def _only_long_queued(usage: _TeamUsage) -> bool:
        return all(item.is_long for item in usage.queue)

    def _long_limit_reached(self, usage: _TeamUsage, team: str) -> bool:
        quota = max(1.0, self._quota_by_team.get(team, 1.0))
        return usage.running_long >= max(1.0, MAX_LONG_FRACTION * quota)

    def _refresh_quotas(self) -> None:
        """Recompute the quota of each team at this daemon from the demand at all daemons."""
        now = time.monotonic()
        if (
            self._release is None
            or now - self._quotas_refreshed_at < QUOTA_REFRESH_INTERVAL_SECONDS
        ):
            return
        self._quotas_refreshed_at = now
        objects = self._release.objects
        pool = objects.pool_by_name.get(self.name)
        if pool is None:
            return
        remote_demand_by_team = {
            line.team: float(line.running + line.waiting)
            for line in self._fleet_view.demand_at_other_daemons()
            if line.pool == self.name
        }
        local_demand_by_team = {
            team: float(usage.running + len(usage.queue))
            for team, usage in self._usage_by_team.items()
        }
        claims = {}
        for team in {*local_demand_by_team, *remote_demand_by_team}:
            configured_team = objects.team_by_name.get(team)
            limit = objects.limit_by_name.get(configured_team.limit) if configured_team else None
            claims[team] = ShareDemand(
                local_demand_by_team.get(team, 0.0) + remote_demand_by_team.get(team, 0.0),
                configured_team.weight if configured_team else 1.0,
                limit.concurrency if limit and limit.concurrency else float("inf"),
            )
        quotas = max_min_shares(self.concurrency_limit(pool), claims)
        self._quota_by_team = {
            team: local_share(
                quota, local_demand_by_team.get(team, 0.0), remote_demand_by_team.get(team, 0.0)
            )
            for team, quota in quotas.items()
        }

    def concurrency_limit(self, pool: Pool) -> float:
        """Return how many requests the whole pool can run at once, over all daemons."""
        now = time.monotonic()
        usable = [e for e in self._endpoints.in_pool(pool.name) if e.usable(now)]
        if pool.serves == "service":
            return float(MAX_SERVICE_REQUESTS_PER_ENDPOINT * len(usable))
        batch_capacity_by_layers: dict[tuple[int, int], float] = {}
        for endpoint in usable:
            layer_range = (endpoint.report.first_layer, endpoint.report.end_layer)
            batch_capacity = endpoint.max_batch() * endpoint.circuit.slow_start_share(now)
            batch_capacity_by_layers[layer_range] = (
                batch_capacity_by_layers.get(layer_range, 0.0) + batch_capacity
            )
        batch_capacity_by_layers.pop((0, 0), None)
        if not batch_capacity_by_layers:
            return 0.0
        # While one stage runs a batch, the other stages run batches of other sequences.
        return (
            min(batch_capacity_by_layers.values())
            * len(batch_capacity_by_layers)
            * PIPELINE_OVERLAP_FACTOR
        )


class AdmissionController:
    """Admission control of every pool; publishes the demand at this daemon."""

    def __init__(self, fleet_view: FleetView, endpoints: EndpointTable) -> None:
        self.limits = TeamLimits(fleet_view)
        self._fleet_view = fleet_view
        self._endpoints = endpoints
        self._admission_by_pool: dict[str, PoolAdmissionController] = {}

    def pool(self, name: str) -> PoolAdmissionController:
        """Return the admission control of a pool, creating it on first use."""
        if name not in self._admission_by_pool:
            self._admission_by_pool[name] = PoolAdmissionController(
                name, self._fleet_view, self._endpoints
            )
        return self._admission_by_pool[name]

    async def run(self) -> None:
        """Admit queued requests and publish the demand periodically until cancelled."""
        published_at = 0.0
        while True:
            await asyncio.sleep(QUOTA_REFRESH_INTERVAL_SECONDS)
            for pool in self._admission_by_pool.values():
                pool.admit_queued()
            if time.monotonic() - published_at >= DEMAND_PUBLISH_INTERVAL_SECONDS:
                published_at = time.monotonic()
                lines = [
                    line for pool in self._admission_by_pool.values() for line in pool.demand()
                ]
                value = encode_value(Demand(lines)) if lines else b""
                self._fleet_view.membership.table.publish(DEMAND_KEY, value)
