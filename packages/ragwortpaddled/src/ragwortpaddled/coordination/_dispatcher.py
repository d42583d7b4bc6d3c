"""Gives each request an endpoint or a path with room for it, and lets the others wait in order.

Load pattern: a crest of demand over what the fleet has memory for. Work waits here, where a more
urgent request can still go first, and not inside an engine, where the newest is preempted.
"""

import asyncio
import heapq
import itertools
import logging
import random
import time
from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from ragwortpaddled.coordination._relay_fleet import RelayFleet
from ragwortpaddled.errors import RefusedError
from ragwortpaddled.protocol import EndpointEntry, Hop, RelayPool
from ragwortpaddled.state import (
    NOTHING_UNSEEN,
    EndpointLoads,
    Link,
    PathChoice,
    PathDemand,
    UnseenLoads,
    choose_path,
    covers,
    crossing_bits,
)

WAKE_SECONDS = 0.05  # others' load fades without an event of our own
REMOTE_COST = 0.2  # of a place: a caller's bytes across data centres are priced
PACE_SECONDS = 2.0  # over which the pace of freed places is counted, about one generation
UNCOVERED_RETRY_SECONDS = 1.0  # loading the layers of one engine takes a second or two
# Of the time that a caller has left. Callers come back once or twice and wait for a third of that
# time at most, so a caller that comes back too early has lost its last chance.
MIN_RETRY_SHARE = 0.1
MAX_RETRY_SHARE = 0.3

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """What a request needs of its pool."""

    pool: RelayPool
    demand: PathDemand
    priority: int
    give_up_at: float
    deadline: float
    avoided: frozenset[str] = frozenset()


@dataclass(slots=True)
class Target:
    """The endpoint, or the path from it on, that a request holds a place at."""

    endpoint: EndpointEntry
    path: tuple[Hop, ...]
    tokens: float
    loads: EndpointLoads
    links: tuple[Link, ...] = ()
    cost_ms: float = 0.0
    considered: int = 1
    pool: str = ""
    waited_seconds: float = 0.0
    _held: bool = field(default=False)

    @property
    def ids(self) -> list[str]:
        """Return the ids of all endpoints of the path."""
        return [hop.endpoint_id for hop in self.path] or [self.endpoint.id]

    def id_at(self, address: str) -> str | None:
        """Return the id of the endpoint at an address."""
        for hop in self.path:
            if hop.address == address:
                return hop.endpoint_id
        return self.endpoint.id if self.endpoint.address == address else None

    def hold(self) -> None:
        """Count the request at its endpoints."""
        self._held = True
        self.loads.own_requests_by_pool[self.pool] += 1
        for endpoint_id in self.ids:
            self.loads.begin(endpoint_id, self.tokens)

    def release(self) -> None:
        """Count the request as ended; a second call does nothing."""
        if not self._held:
            return
        self._held = False
        self.loads.own_requests_by_pool[self.pool] -= 1
        for endpoint_id in self.ids:
            self.loads.end(endpoint_id, self.tokens)


@dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    number: int
    work: PlaceRequest = field(compare=False)
    target: asyncio.Future[Target] = field(compare=False)


class Dispatcher:
    """The places of all pools, as one daemon sees them."""

    def __init__(self, fleet: RelayFleet, data_centre: str, random_source: random.Random) -> None:
        self._fleet = fleet
        self._data_centre = data_centre
        self._random = random_source
        self._numbers = itertools.count()
        self._waiters_by_pool: defaultdict[str, list[_Waiter]] = defaultdict(list)
        self._grants_by_pool: defaultdict[str, deque[float]] = defaultdict(deque)
        self._unseen = UnseenLoads(random_source)
        fleet.on_change(self._note_change)

    def _note_change(self) -> None:
        self._unseen.clear()
        self.wake()

    def waiting(self, pool: str) -> int:
        """Return the requests that wait for a pool."""
        return len(self._waiters_by_pool[pool])

    async def run(self) -> None:
        """Look again at what waits, for the life of the daemon."""
        while True:
            await asyncio.sleep(WAKE_SECONDS)
            self.wake()

    async def take(self, work: PlaceRequest) -> Target:
        """Return a target with a place held, waiting for one in order of priority.

        :raises RefusedError: no place will be free in time, or no endpoint serves the pool
        """
        began = time.monotonic()
        waiters = self._waiters_by_pool[work.pool.name]
        at_once = None if waiters else self._try(work)
        if at_once is not None:
            return at_once
        wait_seconds = self._expected_wait(work)
        if began + wait_seconds > work.give_up_at:
            raise self._refusal(work, wait_seconds)
        waiter = _Waiter(
            work.priority, next(self._numbers), work, asyncio.get_running_loop().create_future()
        )
        heapq.heappush(waiters, waiter)
        try:
            async with asyncio.timeout(max(0.0, work.give_up_at - began)):
                target = await waiter.target
        except TimeoutError:
            raise self._refusal(work, self._expected_wait(work)) from None
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
                heapq.heapify(waiters)
            if waiter.target.done() and not waiter.target.cancelled():
                _release_if_cancelled(waiter.target)
        target.waited_seconds = time.monotonic() - began
        return target

    def release(self, target: Target) -> None:
        """Give a place back and let the next request have it."""
        target.release()
        self.wake()

    def has_other_path(self, work: PlaceRequest, target: Target) -> bool:
        """Tell whether a request would get another path than the one it has."""
        if work.pool.model is None or self.waiting(work.pool.name):
            return False
        hops = self._choose_path(work).hops
        return bool(hops) and hops != target.path

    def congest(self, link: Link) -> float:
        """Avoid a link over which a request stalled; return the seconds."""
        return self._fleet.links.congest(link)

    def note_success(self, target: Target) -> None:
        """Forget earlier failures of what served a request."""
        for endpoint_id in target.ids:
            self._fleet.loads.succeed(endpoint_id)
        for link in target.links:
            self._fleet.links.pass_on(link)

    def wake(self) -> None:
        """Give free places to what waits, the most urgent first."""
        for waiters in self._waiters_by_pool.values():
            while waiters:
                if waiters[0].target.done():
                    heapq.heappop(waiters)
                    continue
                target = self._try(waiters[0].work)
                if target is None:
                    break
                heapq.heappop(waiters).target.set_result(target)

    def _try(self, work: PlaceRequest) -> Target | None:
        choose = self._try_path if work.pool.model is not None else self._try_endpoint
        target = choose(work)
        if target is not None:
            target.pool = work.pool.name
            target.hold()
            self._grants_by_pool[work.pool.name].append(time.monotonic())
        return target

    def _try_path(self, work: PlaceRequest) -> Target | None:
        assert work.pool.model is not None
        pool = work.pool
        choice = self._choose_path(
            work,
            self._unseen.draw(
                pool.name,
                work.pool.model,
                self._fleet.in_pool(pool.name),
                self._fleet.loads,
                self._fleet.links,
            ),
        )
        if not choice.hops:
            return None
        entry = self._fleet.entry_by_id[choice.hops[0].endpoint_id]
        for link in choice.links:
            self._fleet.links.note(link, crossing_bits(work.pool.model, work.demand))
        return Target(
            entry,
            choice.hops,
            work.demand.mean_tokens,
            self._fleet.loads,
            choice.links,
            choice.cost_ms,
            choice.considered,
        )

    def _choose_path(
        self, work: PlaceRequest, unseen_by_id: Mapping[str, float] = NOTHING_UNSEEN
    ) -> PathChoice:
        model = work.pool.model
        assert model is not None
        entries = self._fleet.in_pool(work.pool.name)
        sure = [entry for entry in entries if not self._fleet.is_doubtful(entry)]

        def choose(among: list[EndpointEntry]) -> PathChoice:
            return choose_path(
                model,
                among,
                self._fleet.loads,
                self._fleet.links,
                work.demand,
                avoided=work.avoided,
                unseen_by_id=unseen_by_id,
            )

        choice = choose(sure)
        return choice if choice.hops or len(sure) == len(entries) else choose(entries)

    def _try_endpoint(self, work: PlaceRequest) -> Target | None:
        now = time.monotonic()
        loads = self._fleet.loads
        usable = [
            e
            for e in self._fleet.in_pool(work.pool.name)
            if not e.leaving and e.id not in work.avoided
        ]
        sure = [e for e in usable if not self._fleet.is_doubtful(e)] or usable
        sound = [e for e in sure if not loads.of(e.id).suspect(now)] or sure
        unseen = loads.unseen_requests(work.pool.name) / max(1, len(sound))
        free = [e for e in sound if loads.of(e.id).running(now) + unseen < e.slots]
        if not free:
            return None

        def cost(entry: EndpointEntry) -> float:
            remote = REMOTE_COST if entry.data_centre != self._data_centre else 0.0
            load = loads.of(entry.id).running(now) + remote
            return load / max(1, entry.slots) + self._random.random() * 1e-3

        return Target(min(free, key=cost), (), 0.0, loads, considered=len(free))

    def _expected_wait(self, work: PlaceRequest) -> float:
        """Estimate the seconds until a place, from those that wait before and the recent pace."""
        now = time.monotonic()
        grants = self._grants_by_pool[work.pool.name]
        while grants and grants[0] < now - PACE_SECONDS:
            grants.popleft()
        waiters = self._waiters_by_pool[work.pool.name]
        before = sum(1 for waiter in waiters if waiter.priority <= work.priority)
        return before * PACE_SECONDS / max(1, len(grants))

    def _refusal(self, work: PlaceRequest, wait_seconds: float) -> RefusedError:
        endpoints = [e for e in self._fleet.in_pool(work.pool.name) if not e.leaving]
        if not endpoints:
            return RefusedError(503, "no endpoint serves the pool", UNCOVERED_RETRY_SECONDS)
        left = max(0.0, work.deadline - time.monotonic())
        seconds = min(max(wait_seconds, left * MIN_RETRY_SHARE), left * MAX_RETRY_SHARE)
        # Those refused together must not come back together.
        seconds *= self._random.uniform(1.0, 1.3)
        return RefusedError(
            503,
            "no place will be free in time",
            seconds,
            waiting=self.waiting(work.pool.name),
            freed=len(self._grants_by_pool[work.pool.name]),
            freed_within_ms=int(PACE_SECONDS * 1000),
            expected_wait_ms=int(wait_seconds * 1000),
            endpoints=len(endpoints),
            covered=self._covers(work, endpoints),
        )

    def _covers(self, work: PlaceRequest, endpoints: list[EndpointEntry]) -> bool:
        """Tell whether the pool is only full, not without some layers."""
        if work.pool.model is None:
            return True
        return covers(
            work.pool.model,
            endpoints,
            self._fleet.loads,
            self._fleet.links,
            work.demand,
            avoided=work.avoided,
        )


def _release_if_cancelled(future: "asyncio.Future[Target]") -> None:
    """Give back a place that was granted while its waiter was being cancelled."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        future.result().release()
