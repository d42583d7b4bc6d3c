"""Chooses the engines that a request passes through.

Load pattern: engines of unlike speed under a burst. Each path that covers the layers costs the time
that its stages would take with this request added; stages without memory for it are left out, so
that a prompt that was let in is not preempted midway. The time to the first event counts in full.
The time for the rest holds memory that others wait for, so it counts by how full the engines are;
while they are empty, a faster path is not worth the link that it crosses.
"""

import math
import time
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from ragwortpaddled.protocol import EndpointEntry, Hop, LayeredModel, LayerRange
from ragwortpaddled.state._endpoint_loads import EndpointLoad, EndpointLoads
from ragwortpaddled.state._link_loads import Link, LinkLoads
from ragwortpaddled.state._placement import token_capacity

MEMORY_SHARE = 0.95  # of an engine's tokens; answers often run longer than their hint
MAX_BUSY = 0.9  # of a link, to keep its cost finite
MAX_HOPS = 32  # the engines refuse longer paths
NOTHING_UNSEEN: Mapping[str, float] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class PathDemand:
    """What one request asks of each stage."""

    prompt_tokens: float
    answer_tokens: float

    @property
    def tokens(self) -> float:
        """Return the tokens that are held at the end of the answer."""
        return self.prompt_tokens + self.answer_tokens

    @property
    def mean_tokens(self) -> float:
        """Return the tokens that are held on average while the answer is made."""
        return self.prompt_tokens + self.answer_tokens / 2


@dataclass(frozen=True, slots=True)
class PathChoice:
    """The best path, without hops where there is none."""

    hops: tuple[Hop, ...] = ()
    links: tuple[Link, ...] = ()
    cost_ms: float = 0.0
    considered: int = 0


def choose_path(
    model: LayeredModel,
    endpoints: Iterable[EndpointEntry],
    loads: EndpointLoads,
    links: LinkLoads,
    demand: PathDemand,
    *,
    avoided: frozenset[str] = frozenset(),
    unseen_by_id: Mapping[str, float] = NOTHING_UNSEEN,
) -> PathChoice:
    """Return the cheapest path over usable engines and links with room.

    Engines also carry requests that other daemons have not told of, as far as they are estimated.
    """
    now = time.monotonic()
    roomy = []
    held_tokens = capacity = 0.0
    for endpoint in _usable(endpoints, loads, avoided, now):
        load = loads.of(endpoint.id)
        memory = _memory(model, endpoint, load, now, unseen_by_id.get(endpoint.id, 0.0))
        held_tokens += min(memory.held_tokens, memory.capacity)
        capacity += memory.capacity
        if memory.has_place and memory.held_tokens + demand.tokens <= memory.capacity:
            roomy.append(endpoint)
    full_share = held_tokens / capacity if capacity else 1.0
    search = _Search(model, loads, links, demand, now, unseen_by_id, full_share)
    return search.cheapest(roomy)


def covers(
    model: LayeredModel,
    endpoints: Iterable[EndpointEntry],
    loads: EndpointLoads,
    links: LinkLoads,
    demand: PathDemand,
    *,
    avoided: frozenset[str] = frozenset(),
) -> bool:
    """Tell a fleet that is full from one whose usable engines lack some layers."""
    now = time.monotonic()
    search = _Search(model, loads, links, demand, now, NOTHING_UNSEEN)
    return bool(search.cheapest(_usable(endpoints, loads, avoided, now), full_links=True).hops)


def _usable(
    endpoints: Iterable[EndpointEntry],
    loads: EndpointLoads,
    avoided: frozenset[str],
    now: float,
) -> list[EndpointEntry]:
    return [
        e
        for e in endpoints
        if e.layers is not None
        and not e.leaving
        and e.id not in avoided
        and not loads.of(e.id).suspect(now)
    ]


@dataclass(frozen=True, slots=True)
class _Memory:
    """What an engine can hold and holds, in tokens."""

    capacity: float
    held_tokens: float
    has_place: bool


def _memory(
    model: LayeredModel, endpoint: EndpointEntry, load: EndpointLoad, now: float, unseen: float
) -> _Memory:
    assert endpoint.layers is not None
    kind = model.kind_by_name.get(endpoint.kind)
    if kind is None:
        return _Memory(0.0, 0.0, has_place=False)
    # Requests that daemons place without knowing of each other scatter by the root of their number.
    unseen += math.sqrt(unseen)
    usual = model.usual_prompt_tokens + model.usual_answer_tokens / 2
    return _Memory(
        token_capacity(model, kind, len(endpoint.layers)) * MEMORY_SHARE,
        load.own_tokens + (load.others(now) + unseen) * usual,
        has_place=load.running(now) + unseen < model.slots,
    )


@dataclass(frozen=True, slots=True)
class _Arrival:
    """The cheapest way to have run all layers up to a point."""

    cost_ms: float
    data_centre: str
    endpoint: EndpointEntry | None = None
    layers: LayerRange | None = None
    before: "_Arrival | None" = None


@dataclass(frozen=True, slots=True)
class _Search:
    """The search for a path for one request."""

    model: LayeredModel
    loads: EndpointLoads
    links: LinkLoads
    demand: PathDemand
    now: float
    unseen_by_id: Mapping[str, float]
    full_share: float = 1.0

    def cheapest(self, endpoints: list[EndpointEntry], *, full_links: bool = False) -> PathChoice:
        """Return the cheapest path over endpoints, over full links too if asked.

        The cheapest way to a point may end where the links onward are full or slow, so one is kept
        for each data centre.
        """
        arrivals_by_point: defaultdict[int, dict[str, _Arrival]] = defaultdict(dict)
        arrivals_by_point[0][""] = _Arrival(0.0, "")
        points = sorted({0, *(e.layers.end for e in endpoints if e.layers)})
        cost_by_id = {e.id: self._layer_cost_ms(e) for e in endpoints}
        holders_by_point = _holders_by_point(endpoints, points)
        crossing_by_ends: dict[tuple[str, str], float | None] = {}
        for point in points:
            for start, arrival in arrivals_by_point[point].items():
                for endpoint, held in holders_by_point[point]:
                    ends = start, endpoint.data_centre
                    if ends not in crossing_by_ends:
                        crossing_by_ends[ends] = self._crossing_ms(*ends, full_links=full_links)
                    crossing = crossing_by_ends[ends]
                    if crossing is None:
                        continue
                    layers = LayerRange(point, held.end)
                    cost = arrival.cost_ms + crossing + cost_by_id[endpoint.id] * len(layers)
                    known = arrivals_by_point[held.end].get(endpoint.data_centre)
                    if known is None or cost < known.cost_ms:
                        arrivals_by_point[held.end][endpoint.data_centre] = _Arrival(
                            cost, endpoint.data_centre, endpoint, layers, arrival
                        )
        ways = arrivals_by_point[self.model.layers].values()
        last = min(ways, key=lambda arrival: arrival.cost_ms, default=None)
        hops = _hops(last)
        if last is None or len(hops) > MAX_HOPS or len({h.endpoint_id for h in hops}) < len(hops):
            return PathChoice(considered=len(endpoints))
        return PathChoice(hops, _links(last), last.cost_ms, len(endpoints))

    def _crossing_ms(self, start: str, end: str, *, full_links: bool) -> float | None:
        """Return the time on the link between two data centres, None where the link is full.

        A caller's own hop to the first engine carries only text.
        """
        mbps = self.model.cross_link_mbps
        if not start or start == end or mbps <= 0:
            return 0.0
        link = frozenset((start, end))
        if not full_links and not self.links.has_room(link, mbps):
            return None
        busy = min(self.links.busy_share(link, mbps), MAX_BUSY)
        return crossing_bits(self.model, self.demand) / (mbps * 1000) / (1 - busy)

    def _layer_cost_ms(self, endpoint: EndpointEntry) -> float:
        """Return what one layer of the whole request costs, beside what runs already."""
        model, demand = self.model, self.demand
        kind = model.kind_by_name.get(endpoint.kind)
        if kind is None:
            return float("inf")
        context_k = (demand.prompt_tokens + demand.answer_tokens / 2) / 1000
        per_sequence_ms = model.sequence_step_ms + model.context_step_ms * context_k
        unseen = self.unseen_by_id.get(endpoint.id, 0.0)
        sequences = self.loads.of(endpoint.id).running(self.now) + unseen + 1
        step_ms = kind.step_factor * (model.step_ms + per_sequence_ms * sequences)
        read_ms = demand.prompt_tokens * kind.read_factor / model.read_tokens_per_ms
        return (read_ms + self.full_share * demand.answer_tokens * step_ms) / model.layers


def _holders_by_point(
    endpoints: Iterable[EndpointEntry], points: list[int]
) -> defaultdict[int, list[tuple[EndpointEntry, LayerRange]]]:
    """Return the engines that hold the layer at each of the sorted points."""
    holders_by_point = defaultdict(list)
    for endpoint in endpoints:
        held = endpoint.layers
        if held is None:
            continue
        for index in range(bisect_left(points, held.first), bisect_left(points, held.end)):
            holders_by_point[points[index]].append((endpoint, held))
    return holders_by_point


def crossing_bits(model: LayeredModel, demand: PathDemand) -> float:
    """Return what a request sends over a link between two stages."""
    return demand.tokens * model.activation_bytes * 8


def _hops(arrival: _Arrival | None) -> tuple[Hop, ...]:
    hops = []
    while arrival is not None and arrival.endpoint is not None and arrival.layers is not None:
        hops.append(Hop(arrival.endpoint.id, arrival.endpoint.address, arrival.layers))
        arrival = arrival.before
    return tuple(reversed(hops))


def _links(arrival: _Arrival | None) -> tuple[Link, ...]:
    links = []
    while arrival is not None and arrival.before is not None:
        before = arrival.before
        if before.endpoint is not None and before.data_centre != arrival.data_centre:
            links.append(frozenset((before.data_centre, arrival.data_centre)))
        arrival = before
    return tuple(links)
