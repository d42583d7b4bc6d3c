"""Placement by many daemons of the same engines: a model of the fleet without I/O.

Load pattern: ninety daemons place a burst of generations on a hundred engines. Each daemon knows
its own requests, and gets the report of each peer only every few seconds.
"""

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

import pytest
from ragwortpaddled.protocol import EndpointEntry, Hop, LayeredModel
from ragwortpaddled.state import (
    EndpointLoads,
    LinkLoads,
    RequestSize,
    UnreportedLoads,
    _endpoint_loads,
    _layer_paths,
    _link_loads,
    _unreported_loads,
    choose_path,
    plan_chains,
    token_capacity,
    transfer_bits,
)
from test_placement import MODEL, make_engines

POOL = "model"
GOSSIP_INTERVAL_SECONDS = 0.4
GOSSIP_FANOUT = 2
MAX_SENDS = 4
MAX_WAIT_SECONDS = 1.2
DISPATCH_INTERVAL_SECONDS = 0.1
# The fleet's bound on repeats: a share of the requests of a window, and a constant.
RETRY_RATIO = 0.2
BASE_RETRIES = 200
RETRY_WINDOW_SECONDS = 10.0
SECONDS = 13.0
MAX_BUSIEST_OVER_MEAN = 3.0
QUEUE_SHARE = 0.5  # of the slots: what an engine queues before it refuses requests
NETWORK_SECONDS = 0.005
ENGINE_TIME_FACTOR = 2.0  # engines alternate between prompts and tokens, and exchange them

LARGE_MODEL = replace(
    MODEL,
    kv_mb_per_token_layer=0.009,
    prefill_tokens_per_ms=321.0,
    typical_prompt_tokens=731.0,
    typical_answer_tokens=139.0,
    activation_bytes=18000.0,
    inter_data_centre_mbps=3400.0,
)
LARGE_FLEET = {
    "a": {"large": 1, "middle": 22, "small": 12},
    "b": {"large": 4, "middle": 9, "small": 14},
    "c": {"large": 2, "middle": 13, "small": 22},
}
SMALL_FLEET = {
    "a": {"large": 1, "middle": 8, "small": 5},
    "b": {"large": 3, "middle": 3, "small": 5},
    "c": {"large": 1, "middle": 4, "small": 8},
}


@dataclass
class Clock:
    """The clock of all modelled daemons."""

    now: float = 100.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (_endpoint_loads, _layer_paths, _link_loads, _unreported_loads):
        monkeypatch.setattr(module, "time", clock)
    return clock


@dataclass
class ModelledEngine:
    """An engine that refuses requests for which it has no memory or no place in its queue."""

    entry: EndpointEntry
    capacity_tokens: float
    held_tokens: float = 0.0
    first_requests: int = 0
    all_requests: int = 0

    def has_room(self, tokens: float, *, first: bool) -> bool:
        places = self.entry.slots * (1 + QUEUE_SHARE)
        return self.held_tokens + tokens <= self.capacity_tokens and not (
            first and self.first_requests >= places
        )


@dataclass
class ModelledDaemon:
    """What one daemon knows of the fleet."""

    name: str
    random_source: random.Random
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    links: LinkLoads = field(default_factory=LinkLoads)

    def __post_init__(self) -> None:
        self.unreported = UnreportedLoads(self.random_source)


@dataclass
class ModelledRequest:
    size: RequestSize
    actual_answer_tokens: float
    daemon: ModelledDaemon
    arrived_at: float
    sends: int = 0


@dataclass
class Outcome:
    """What the callers and engines of a modelled fleet saw."""

    requests: int = 0
    served: int = 0
    not_placed: int = 0
    avoidable_refusals: int = 0  # by full engines, while a path over others had room
    ended_after_refusals: int = 0
    attempts_by_first_engine: Counter[str] = field(default_factory=Counter)

    @property
    def busiest_over_mean(self) -> float:
        counts = self.attempts_by_first_engine
        return max(counts.values()) * len(counts) / counts.total()


class ModelledFleet:
    """Daemons, engines, arrivals and gossip as events on one clock."""

    def __init__(
        self,
        clock: Clock,
        model: LayeredModel,
        engines_by_data_centre: dict[str, dict[str, int]],
        daemon_count: int,
        seed: int,
    ) -> None:
        self.clock = clock
        self.model = model
        self.random_source = random.Random(seed)
        self.outcome = Outcome()
        self._arrival_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.engine_by_id = self._plan(engines_by_data_centre)
        self.entries = [engine.entry for engine in self.engine_by_id.values()]
        for engine in self.entries:
            if engine.layers is not None and engine.layers.first == 0:
                self.outcome.attempts_by_first_engine[engine.id] = 0
        self.daemons = [
            ModelledDaemon(f"daemon-{number}", random.Random(seed * 1000 + number))
            for number in range(daemon_count)
        ]
        for daemon in self.daemons:
            daemon.loads.daemon_count = daemon_count
            self._schedule(self.random_source.uniform(0, 0.4), self._make_gossip(daemon))

    def _plan(self, counts: dict[str, dict[str, int]]) -> dict[str, ModelledEngine]:
        engines = make_engines(counts)
        engine_by_id = {engine.id: engine for engine in engines}
        modelled = {}
        for chain in plan_chains(self.model, engines):
            for stage in chain:
                engine = engine_by_id[stage.engine_id]
                entry = EndpointEntry(
                    id=engine.id,
                    pool=POOL,
                    address=f"10.0.0.1:{len(modelled) + 1000}",
                    data_centre=engine.data_centre,
                    slots=self.model.slots,
                    leaving=False,
                    kind=engine.kind,
                    layers=stage.layers,
                )
                capacity = token_capacity(
                    self.model, self.model.kind_by_name[engine.kind], len(stage.layers)
                )
                modelled[engine.id] = ModelledEngine(entry, capacity)
        return modelled

    def run(self, rate: Callable[[float], float], seconds: float) -> Outcome:
        """Play requests at a rate per second for a time, then let them end."""
        start = self.clock.now
        for arrival in self._arrivals(rate, seconds):
            self._schedule(arrival, self._arrive)
        while self._events and self._events[0][0] <= start + seconds + 1:
            at, _, action = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, at)
            action()
        return self.outcome

    def _arrivals(self, rate: Callable[[float], float], seconds: float) -> Iterator[float]:
        at = 0.0
        while True:
            at += self.random_source.expovariate(rate(at))
            if at >= seconds:
                return
            yield at

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.clock.now + delay, next(self._numbers), action))

    def _make_gossip(self, daemon: ModelledDaemon) -> Callable[[], None]:
        def gossip() -> None:
            peers = [peer for peer in self.daemons if peer is not daemon]
            for peer in self.random_source.sample(peers, min(GOSSIP_FANOUT, len(peers))):
                self.exchange(daemon, peer)
                self.exchange(peer, daemon)
            delay = GOSSIP_INTERVAL_SECONDS * self.random_source.uniform(0.8, 1.2)
            self._schedule(delay, gossip)

        return gossip

    @staticmethod
    def exchange(sender: ModelledDaemon, receiver: ModelledDaemon) -> None:
        receiver.loads.update_peer(
            sender.name,
            sender.loads.own_running_by_id(),
            sender.loads.own_suspect_ids(),
            dict(sender.loads.own_requests_by_pool),
        )
        receiver.links.update_peer(sender.name, sender.links.own_bits_by_link())

    def _arrive(self) -> None:
        self.outcome.requests += 1
        self._arrival_times.append(self.clock.now)
        prompt = min(2280.0, self.random_source.lognormvariate(math.log(605), 0.6))
        answer = min(346.0, self.random_source.lognormvariate(math.log(100), 0.8))
        request = ModelledRequest(
            RequestSize(prompt, answer * self.random_source.lognormvariate(0, 0.3)),
            answer,
            self.random_source.choice(self.daemons),
            self.clock.now,
        )
        self._place(request)

    def _place(self, request: ModelledRequest) -> None:
        daemon, model = request.daemon, self.model
        choice = choose_path(
            model,
            self.entries,
            daemon.loads,
            daemon.links,
            request.size,
            unreported_by_id=daemon.unreported.sample(
                POOL, model, self.entries, daemon.loads, daemon.links
            ),
        )
        if not choice.hops:
            if self.clock.now - request.arrived_at >= MAX_WAIT_SECONDS:
                self.outcome.not_placed += 1
            else:
                self._schedule(DISPATCH_INTERVAL_SECONDS, lambda: self._place(request))
            return
        for link in choice.links:
            daemon.links.record_transfer(link, transfer_bits(model, request.size))
        daemon.loads.own_requests_by_pool[POOL] += 1
        for hop in choice.hops:
            daemon.loads.record_start(hop.endpoint_id, request.size.mean_tokens)
        request.sends += 1
        self.outcome.attempts_by_first_engine[choice.hops[0].endpoint_id] += 1
        reserved_at = self.clock.now
        self._schedule(NETWORK_SECONDS, lambda: self._receive(request, choice.hops, reserved_at))

    def _receive(self, request: ModelledRequest, hops: tuple[Hop, ...], reserved_at: float) -> None:
        daemon = request.daemon
        tokens = request.size.prompt_tokens + request.actual_answer_tokens / 2
        path = [self.engine_by_id[hop.endpoint_id] for hop in hops]
        full = [e for e in path if not e.has_room(tokens, first=e is path[0])]
        if full:
            self.outcome.avoidable_refusals += self._has_path(tokens)
            self._release(request, hops)
            daemon.loads.record_overload(full[0].entry.id)
            if request.sends < MAX_SENDS and self._may_retry():
                self._place(request)
            else:
                self.outcome.ended_after_refusals += 1
            return
        for engine in path:
            engine.held_tokens += tokens
            engine.all_requests += 1
        path[0].first_requests += 1
        first_event_seconds, seconds = self._run_seconds(request, path, hops)
        daemon.loads.record_reported_load(path[0].entry.id, path[0].first_requests)

        def begin() -> None:
            for hop in hops:
                daemon.loads.record_acceptance(hop.endpoint_id, sent_at=reserved_at)

        def end() -> None:
            for engine in path:
                engine.held_tokens -= tokens
                engine.all_requests -= 1
            path[0].first_requests -= 1
            self._release(request, hops)
            self.outcome.served += 1
            for hop in hops:
                daemon.loads.record_success(hop.endpoint_id, sent_at=reserved_at)

        self._schedule(first_event_seconds, begin)
        self._schedule(seconds, end)

    def _may_retry(self) -> bool:
        for times in (self._arrival_times, self._retry_times):
            while times and times[0] < self.clock.now - RETRY_WINDOW_SECONDS:
                times.popleft()
        if len(self._retry_times) >= RETRY_RATIO * len(self._arrival_times) + BASE_RETRIES:
            return False
        self._retry_times.append(self.clock.now)
        return True

    @staticmethod
    def _release(request: ModelledRequest, hops: tuple[Hop, ...]) -> None:
        loads = request.daemon.loads
        loads.own_requests_by_pool[POOL] -= 1
        for hop in hops:
            loads.record_end(hop.endpoint_id, request.size.mean_tokens)

    def _run_seconds(
        self, request: ModelledRequest, path: list[ModelledEngine], hops: tuple[Hop, ...]
    ) -> tuple[float, float]:
        """Return the time to the first event and to the end of a request."""
        model = self.model
        prefill_ms = step_ms = 0.0
        for engine, hop in zip(path, hops, strict=True):
            kind = model.kind_by_name[engine.entry.kind]
            share = len(hop.layers) / model.layers
            prefill_ms += (
                share
                * kind.prefill_factor
                * request.size.prompt_tokens
                / model.prefill_tokens_per_ms
            )
            per_sequence_ms = model.step_ms_per_sequence + model.step_ms_per_1k_context * 0.8
            step_ms += (
                share * kind.step_factor * (model.step_ms + per_sequence_ms * engine.all_requests)
            )
        seconds = prefill_ms + step_ms * request.actual_answer_tokens
        return prefill_ms * ENGINE_TIME_FACTOR / 1000, seconds * ENGINE_TIME_FACTOR / 1000

    def _has_path(self, tokens: float) -> bool:
        """Return whether engines with room hold all layers."""
        reached = {0}
        spans = sorted(
            (engine.entry.layers.first, engine.entry.layers.end)
            for engine in self.engine_by_id.values()
            if engine.entry.layers is not None
            and engine.has_room(tokens, first=engine.entry.layers.first == 0)
        )
        for first, end in spans:
            if any(first <= layer < end for layer in reached):
                reached.add(end)
        return self.model.layers in reached


def wave(mean: float, *, burst: float = 1.0) -> Callable[[float], float]:
    """Return a rate that swings by half of its mean, with a burst at its highest."""

    def rate(at: float) -> float:
        factor = burst if 4.0 <= at < 10.0 else 1.0
        return mean * (1 + 0.55 * math.sin(2 * math.pi * (at - 3.0) / 13.0)) * factor

    return rate


class TestManyDaemons:
    """Ninety daemons choose paths over a hundred engines.

    When each simulated the requests of the others from their mean number, a seventh of all requests
    were placed as if there were none, and the others by reports of up to 2 s. Full engines refused
    two of five requests of a burst, which used up the retries of the fleet.
    """

    DAEMONS = 90
    REQUESTS_PER_SECOND = 83.0
    # Half of the repeats that the fleet may send, so that the rest is left for faults.
    MAX_REFUSED_SHARE = RETRY_RATIO / 2

    @pytest.mark.parametrize("seed", [3, 7])
    def test_engines_with_room_get_the_requests_of_a_burst(self, clock: Clock, seed: int) -> None:
        fleet = ModelledFleet(clock, LARGE_MODEL, LARGE_FLEET, self.DAEMONS, seed)
        outcome = fleet.run(wave(self.REQUESTS_PER_SECOND, burst=1.5), SECONDS)
        assert outcome.avoidable_refusals <= self.MAX_REFUSED_SHARE * outcome.requests
        assert outcome.ended_after_refusals == outcome.not_placed == 0

    @pytest.mark.parametrize("seed", [21, 22])
    def test_first_engines_share_the_requests_of_a_calm_day(self, clock: Clock, seed: int) -> None:
        fleet = ModelledFleet(clock, LARGE_MODEL, LARGE_FLEET, self.DAEMONS, seed)
        outcome = fleet.run(wave(self.REQUESTS_PER_SECOND), SECONDS)
        assert outcome.busiest_over_mean <= MAX_BUSIEST_OVER_MEAN
        assert outcome.avoidable_refusals <= self.MAX_REFUSED_SHARE * outcome.requests


class TestFewDaemons:
    """Nine daemons have recent reports from nearly all others."""

    @pytest.mark.parametrize("seed", [11, 12])
    def test_engines_with_room_get_the_requests_of_a_calm_day(
        self, clock: Clock, seed: int
    ) -> None:
        fleet = ModelledFleet(clock, MODEL, SMALL_FLEET, 9, seed)
        outcome = fleet.run(wave(25.0), SECONDS)
        assert outcome.avoidable_refusals <= 0.01 * outcome.requests
        assert outcome.ended_after_refusals == outcome.not_placed == 0
