"""Reserves capacity at an endpoint or a path for each request; queues the others by priority.

Load pattern: a peak of demand that exceeds the memory of the fleet. Requests are queued here, where
a more urgent one can overtake, and not inside an engine, where the newest request is preempted.
"""

import asyncio
import heapq
import itertools
import logging
import random
import time
from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ragwortpaddled.coordination._relay_directory import RelayDirectory
from ragwortpaddled.errors import RefusedError
from ragwortpaddled.protocol import EndpointEntry, Hop, RelayPool
from ragwortpaddled.state import (
    NO_UNREPORTED_LOAD,
    EndpointLoads,
    Link,
    PathChoice,
    RequestSize,
    Retry,
    UnreportedLoads,
    all_layers_available,
    choose_path,
    transfer_bits,
)

DISPATCH_INTERVAL_SECONDS = 0.05  # estimates of other daemons' load expire without an event here
REMOTE_PENALTY_SLOTS = 0.2  # caller traffic between data centres is billed
GRANT_WINDOW_SECONDS = 2.0  # window of the grant rate, about one generation
MAX_PASSED_TRIES = 2  # a search for a path takes about a millisecond
NO_ENDPOINT_RETRY_SECONDS = 1.0  # loading the layers of one engine takes a second or two
# Bounds of Retry-After as shares of the time until the caller's deadline. Callers retry once or
# twice and wait for a third of that time at most, so a retry that comes too early is wasted.
MIN_RETRY_AFTER_SHARE = 0.1
MAX_RETRY_AFTER_SHARE = 0.3

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DispatchRequest:
    """What a request requires from its pool; times are on the monotonic clock, in seconds.

    ``begun``: an endpoint may have run a part of it, so it is served before new requests and not
    refused for the expected wait. While no endpoint has room for it, new requests wait behind it
    until ``holds_queue_until``.

    ``last_resort_excluded_ids``: if no other endpoint has room, all but these may be used, suspects
    too, except engines that count as lost; None: no last resort.
    """

    pool: RelayPool
    demand: RequestSize
    priority: int
    queue_deadline: float
    deadline: float
    excluded_ids: frozenset[str] = frozenset()
    begun: bool = False
    holds_queue_until: float = 0.0
    last_resort_excluded_ids: frozenset[str] | None = None


@dataclass(slots=True)
class Target:
    """The endpoint, or the path that starts at it, with capacity reserved for a request."""

    endpoint: EndpointEntry
    path: tuple[Hop, ...]
    tokens: float
    loads: EndpointLoads
    links: tuple[Link, ...] = ()
    cost_ms: float = 0.0
    considered_count: int = 1
    pool: str = ""
    waited_seconds: float = 0.0
    reserved_at: float = 0.0  # on the monotonic clock
    sent_at: float = 0.0  # likewise
    may_have_received: bool = False  # sending the request to the endpoint has begun
    not_run: bool = False  # the endpoint has refused it
    peer: str = ""  # that forwards the request to the endpoint; empty for a direct connection
    retry: Retry | None = None  # of the budget, taken for it
    _reserved: bool = field(default=False)

    @property
    def endpoint_ids(self) -> list[str]:
        """Return the ids of all endpoints on the path."""
        return [hop.endpoint_id for hop in self.path] or [self.endpoint.id]

    def endpoint_id_at(self, address: str) -> str | None:
        """Return the id of the endpoint on the path with this address, None if there is none."""
        for hop in self.path:
            if hop.address == address:
                return hop.endpoint_id
        return self.endpoint.id if self.endpoint.address == address else None

    def reserve(self) -> None:
        """Add the request to the load of its endpoints."""
        self._reserved = True
        self.reserved_at = time.monotonic()
        self.loads.own_requests_by_pool[self.pool] += 1
        for endpoint_id in self.endpoint_ids:
            self.loads.record_start(endpoint_id, self.tokens)

    def release(self) -> None:
        """Remove the request from the load of its endpoints; a second call does nothing."""
        if not self._reserved:
            return
        self._reserved = False
        self.loads.own_requests_by_pool[self.pool] -= 1
        for endpoint_id in self.endpoint_ids:
            self.loads.record_end(endpoint_id, self.tokens)


@dataclass(order=True, slots=True)
class _Waiter:
    is_new: bool
    tried: bool  # since the other requests that have begun were
    priority: int
    sequence_number: int
    request: DispatchRequest = field(compare=False)
    target: asyncio.Future[Target] = field(compare=False)
    holds_queue: bool = field(default=True, compare=False)


class Dispatcher:
    """The request queues of all pools at one daemon, and the reservations from them."""

    def __init__(
        self, relay_directory: RelayDirectory, data_centre: str, random_source: random.Random
    ) -> None:
        self._relay_directory = relay_directory
        self._data_centre = data_centre
        self._random = random_source
        self._sequence_numbers = itertools.count()
        self._waiters_by_pool: defaultdict[str, list[_Waiter]] = defaultdict(list)
        self._grant_times_by_pool: defaultdict[str, deque[float]] = defaultdict(deque)
        self._unreported_loads = UnreportedLoads(random_source)
        relay_directory.add_change_listener(self.dispatch_waiting)

    def waiting_count(self, pool: str) -> int:
        """Return the number of requests queued for a pool."""
        return len(self._waiters_by_pool[pool])

    async def run(self) -> None:
        """Dispatch queued requests at a fixed interval, for the life of the daemon."""
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_SECONDS)
            self.dispatch_waiting()

    async def acquire(
        self, request: DispatchRequest, *, unless: asyncio.Task[Any] | None = None
    ) -> Target:
        """Reserve capacity for a request, queueing it by priority while there is none.

        :param unless: once it ends, the request leaves the queue
        :raises RefusedError: no capacity is expected in time, or no endpoint serves the pool
        """
        started_at = time.monotonic()
        waiters = self._waiters_by_pool[request.pool.name]
        immediate_target = None if self._waiters_ahead(request) else self._try_acquire(request)
        if immediate_target is not None:
            return immediate_target
        wait_seconds = self._estimate_wait_seconds(request)
        if not request.begun and started_at + wait_seconds > request.queue_deadline:
            raise self._refusal(request, wait_seconds)
        waiter = _Waiter(
            not request.begun,
            False,
            request.priority,
            next(self._sequence_numbers),
            request,
            asyncio.get_running_loop().create_future(),
        )
        waiter.holds_queue = self._holds_queue(request)
        heapq.heappush(waiters, waiter)
        try:
            # Not asyncio.timeout: it could end the wait in the moment in which capacity is granted.
            timeout = max(0.0, request.queue_deadline - started_at)
            await asyncio.wait(
                [waiter.target] if unless is None else [waiter.target, unless],
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
        except asyncio.CancelledError:
            if waiter.target.done():
                self.release(waiter.target.result())
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
                heapq.heapify(waiters)
        if not waiter.target.done():
            raise self._refusal(request, self._estimate_wait_seconds(request))
        target = waiter.target.result()
        target.waited_seconds = time.monotonic() - started_at
        return target

    def release(self, target: Target) -> None:
        """Release the reserved capacity and dispatch queued requests."""
        target.release()
        self.dispatch_waiting()

    def has_other_path(self, request: DispatchRequest, target: Target) -> bool:
        """Return whether a path other than the current one has capacity for the request."""
        if request.pool.model is None or self._waiters_ahead(request):
            return False
        hops = self._choose_path(request).hops
        return bool(hops) and hops != target.path

    def mark_congested(self, link: Link) -> float:
        """Avoid a link over which a request stalled; return for how many seconds."""
        return self._relay_directory.links.record_congestion(link)

    def record_acceptance(self, target: Target) -> None:
        """Record that the endpoints of a target have begun to run a request."""
        for endpoint_id in target.endpoint_ids:
            self._relay_directory.loads.record_acceptance(endpoint_id, sent_at=target.reserved_at)

    def record_success(self, target: Target) -> None:
        """Clear the recorded failures of the endpoints and links that served a request."""
        for endpoint_id in target.endpoint_ids:
            self._relay_directory.loads.record_success(endpoint_id, sent_at=target.reserved_at)
        for link in target.links:
            self._relay_directory.links.record_success(link)

    def dispatch_waiting(self) -> None:
        """Grant free capacity to queued requests, the most urgent first."""
        for waiters in self._waiters_by_pool.values():
            self._dispatch(waiters)

    def _dispatch(self, waiters: list[_Waiter]) -> None:
        """Grant free capacity to the requests of one queue.

        Requests that have begun and don't hold the queue are tried in turn, a few at a time.
        """
        passed: list[_Waiter] = []
        while waiters:
            waiter = waiters[0]
            if not waiter.request.begun or len(passed) < MAX_PASSED_TRIES:
                target = self._try_acquire(waiter.request)
                if target is not None:
                    heapq.heappop(waiters).target.set_result(target)
                    continue
                waiter.holds_queue = self._holds_queue(waiter.request)
                if waiter.holds_queue:
                    break
                waiter.tried = True
                waiter.sequence_number = next(self._sequence_numbers)
            elif waiter.holds_queue and time.monotonic() < waiter.request.holds_queue_until:
                break  # it is tried next time
            passed.append(heapq.heappop(waiters))
        all_passed = not (waiters and waiters[0].request.begun)
        if all_passed and all(waiter.tried for waiter in passed):
            for waiter in passed:
                waiter.tried = False
        for waiter in passed:
            heapq.heappush(waiters, waiter)

    def _waiters_ahead(self, request: DispatchRequest) -> list[_Waiter]:
        """Return the queued requests that must be served before a request that arrives now."""
        return [
            waiter
            for waiter in self._waiters_by_pool[request.pool.name]
            if waiter.holds_queue and not (request.begun and waiter.is_new)
        ]

    def _holds_queue(self, request: DispatchRequest) -> bool:
        """Return whether requests behind one for which there is no room must wait, too.

        One that has begun and excludes the endpoints with room would keep them idle.
        """
        if not request.begun:
            return True
        if time.monotonic() >= request.holds_queue_until:
            return False
        if not request.excluded_ids:
            return True
        return not self._has_room(replace(request, excluded_ids=frozenset()))

    def _has_room(self, request: DispatchRequest) -> bool:
        if request.pool.model is None:
            return self._try_acquire_endpoint(request) is not None
        return bool(self._choose_path(request, self._sample_unreported(request.pool)).hops)

    def _try_acquire(self, request: DispatchRequest) -> Target | None:
        choose = (
            self._try_acquire_path if request.pool.model is not None else self._try_acquire_endpoint
        )
        target = choose(request)
        if target is not None:
            target.pool = request.pool.name
            target.reserve()
            self._relay_directory.request_limits.record_request(target.endpoint.id)
            self._grant_times_by_pool[request.pool.name].append(time.monotonic())
        return target

    def _try_acquire_path(self, request: DispatchRequest) -> Target | None:
        assert request.pool.model is not None
        choice = self._choose_path(request, self._sample_unreported(request.pool))
        if not choice.hops:
            return None
        entry = self._relay_directory.entry_by_id[choice.hops[0].endpoint_id]
        for link in choice.links:
            self._relay_directory.links.record_transfer(
                link, transfer_bits(request.pool.model, request.demand)
            )
        return Target(
            entry,
            choice.hops,
            request.demand.mean_tokens,
            self._relay_directory.loads,
            choice.links,
            choice.cost_ms,
            choice.considered_count,
        )

    def _sample_unreported(self, pool: RelayPool) -> Mapping[str, float]:
        assert pool.model is not None
        return self._unreported_loads.sample(
            pool.name,
            pool.model,
            self._relay_directory.endpoints_in_pool(pool.name),
            self._relay_directory.loads,
            self._relay_directory.links,
        )

    def _choose_path(
        self, request: DispatchRequest, unreported_by_id: Mapping[str, float] = NO_UNREPORTED_LOAD
    ) -> PathChoice:
        model = request.pool.model
        assert model is not None
        entries = self._relay_directory.endpoints_in_pool(request.pool.name)
        confirmed = [entry for entry in entries if not self._relay_directory.may_have_left(entry)]
        exhausted_ids = self._relay_directory.request_limits.exhausted_ids()

        def choose(
            candidates: list[EndpointEntry],
            excluded_ids: frozenset[str] = request.excluded_ids,
            *,
            include_suspects: bool = False,
        ) -> PathChoice:
            return choose_path(
                model,
                candidates,
                self._relay_directory.loads,
                self._relay_directory.links,
                request.demand,
                excluded_ids=excluded_ids,
                excluded_first_ids=exhausted_ids,
                unreported_by_id=unreported_by_id,
                include_suspects=include_suspects,
            )

        choice = choose(confirmed)
        if not choice.hops and len(confirmed) < len(entries):
            choice = choose(entries)
        if not choice.hops and request.last_resort_excluded_ids is not None:
            loads = self._relay_directory.loads
            lost_ids = loads.confirmed_lost_ids().union(loads.own_suspect_ids())
            excluded_ids = request.last_resort_excluded_ids | lost_ids
            choice = choose(entries, excluded_ids, include_suspects=True)
        return choice

    def _try_acquire_endpoint(self, request: DispatchRequest) -> Target | None:
        target = self._choose_endpoint(request, request.excluded_ids)
        if target is None and request.last_resort_excluded_ids is not None:
            target = self._choose_endpoint(request, request.last_resort_excluded_ids)
        return target

    def _choose_endpoint(
        self, request: DispatchRequest, request_excluded_ids: frozenset[str]
    ) -> Target | None:
        now = time.monotonic()
        loads = self._relay_directory.loads
        excluded_ids = request_excluded_ids | self._relay_directory.request_limits.exhausted_ids()
        usable = [
            e
            for e in self._relay_directory.endpoints_in_pool(request.pool.name)
            if not e.leaving and e.id not in excluded_ids
        ]
        confirmed = [e for e in usable if not self._relay_directory.may_have_left(e)] or usable
        healthy = [e for e in confirmed if not loads.get(e.id).suspect(now)] or confirmed
        # An endpoint queues what it has no slot for, so it is avoided only if very likely full.
        free = [e for e in healthy if loads.min_running(e.id) < e.slots]
        if not free:
            return None

        def cost(entry: EndpointEntry) -> float:
            remote = REMOTE_PENALTY_SLOTS if entry.data_centre != self._data_centre else 0.0
            load = loads.get(entry.id).running(now) + remote
            return load / max(1, entry.slots) + self._random.random() * 1e-3

        return Target(min(free, key=cost), (), 0.0, loads, considered_count=len(free))

    def _estimate_wait_seconds(self, request: DispatchRequest) -> float:
        """Estimate the queueing time from the requests ahead and the recent rate of grants."""
        now = time.monotonic()
        grant_times = self._grant_times_by_pool[request.pool.name]
        while grant_times and grant_times[0] < now - GRANT_WINDOW_SECONDS:
            grant_times.popleft()
        ahead = sum(
            1
            for waiter in self._waiters_ahead(request)
            if not waiter.is_new or waiter.priority <= request.priority
        )
        return ahead * GRANT_WINDOW_SECONDS / max(1, len(grant_times))

    def _refusal(self, request: DispatchRequest, wait_seconds: float) -> RefusedError:
        endpoints = [
            e for e in self._relay_directory.endpoints_in_pool(request.pool.name) if not e.leaving
        ]
        if not endpoints:
            return RefusedError(
                503, f"no endpoint serves pool {request.pool.name}", NO_ENDPOINT_RETRY_SECONDS
            )
        remaining_seconds = max(0.0, request.deadline - time.monotonic())
        seconds = min(
            max(wait_seconds, remaining_seconds * MIN_RETRY_AFTER_SHARE),
            remaining_seconds * MAX_RETRY_AFTER_SHARE,
        )
        # Jitter: callers refused at the same time must not all retry at the same time.
        seconds *= self._random.uniform(1.0, 1.3)
        now = time.monotonic()
        loads = [self._relay_directory.loads.get(e.id) for e in endpoints]
        return RefusedError(
            503,
            "no capacity expected in time",
            seconds,
            waiting=self.waiting_count(request.pool.name),
            freed=len(self._grant_times_by_pool[request.pool.name]),
            freed_within_ms=int(GRANT_WINDOW_SECONDS * 1000),
            expected_wait_ms=int(wait_seconds * 1000),
            endpoints=len(endpoints),
            avoided=sum(load.suspect(now) for load in loads),
            avoided_by_peers=sum(load.suspected_by_peers for load in loads),
            covered=self._has_all_layers(request, endpoints),
        )

    def _has_all_layers(self, request: DispatchRequest, endpoints: list[EndpointEntry]) -> bool:
        """Return whether the endpoints hold every layer, so that the pool is only full."""
        if request.pool.model is None:
            return True
        return all_layers_available(
            request.pool.model,
            endpoints,
            self._relay_directory.loads,
            self._relay_directory.links,
            request.demand,
            excluded_ids=request.excluded_ids,
        )
