"""Chooses the engines that a request passes through.

Load pattern: engines of unlike speed under a burst. Each path that covers the layers costs the time
that its stages would take with this request added; stages without memory for it are left out, so
that a prompt that was let in is not preempted midway.
"""

import time
from collections.abc import Iterable
from dataclasses import dataclass

from ragwortpaddled.protocol import EndpointEntry, Hop, LayeredModel, LayerRange
from ragwortpaddled.state._endpoint_loads import EndpointLoad, EndpointLoads
from ragwortpaddled.state._link_loads import Link, LinkLoads
from ragwortpaddled.state._placement import token_capacity

MEMORY_SHARE = 0.95  # of an engine's tokens; answers often run longer than their hint
MAX_BUSY = 0.9  # of a link, to keep its cost finite
MAX_HOPS = 32  # the engines refuse longer paths


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
    start_data_centre: str = "",
) -> PathChoice:
    """Return the cheapest path over usable engines and links with room."""
    now = time.monotonic()
    usable = _usable(endpoints, loads, avoided, now)
    roomy = [e for e in usable if _has_room(model, e, loads.of(e.id), demand, now)]
    return _Search(model, loads, links, demand, start_data_centre, now).cheapest(roomy)


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
    search = _Search(model, loads, links, demand, "", now)
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


def _has_room(
    model: LayeredModel,
    endpoint: EndpointEntry,
    load: EndpointLoad,
    demand: PathDemand,
    now: float,
) -> bool:
    assert endpoint.layers is not None
    kind = model.kind_by_name.get(endpoint.kind)
    if kind is None or load.running(now) >= model.slots:
        return False
    usual = model.usual_prompt_tokens + model.usual_answer_tokens / 2
    held = load.own_tokens + load.others(now) * usual
    capacity = token_capacity(model, kind, len(endpoint.layers))
    return held + demand.tokens <= capacity * MEMORY_SHARE


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
    start_data_centre: str
    now: float

    def cheapest(self, endpoints: list[EndpointEntry], *, full_links: bool = False) -> PathChoice:
        """Return the cheapest path over endpoints, over full links too if asked."""
        arrival_by_point = {0: _Arrival(0.0, self.start_data_centre)}
        points = sorted({0, *(e.layers.end for e in endpoints if e.layers)})
        cost_by_id = {e.id: self._layer_cost_ms(e) for e in endpoints}
        for point in points:
            arrival = arrival_by_point.get(point)
            if arrival is None:
                continue
            for endpoint in endpoints:
                held = endpoint.layers
                if held is None or not held.first <= point < held.end:
                    continue
                crossing = self._crossing_ms(arrival, endpoint, full_links=full_links)
                if crossing is None:
                    continue
                layers = LayerRange(point, held.end)
                cost = arrival.cost_ms + crossing + cost_by_id[endpoint.id] * len(layers)
                known = arrival_by_point.get(held.end)
                if known is None or cost < known.cost_ms:
                    arrival_by_point[held.end] = _Arrival(
                        cost, endpoint.data_centre, endpoint, layers, arrival
                    )
        last = arrival_by_point.get(self.model.layers)
        hops = _hops(last)
        if last is None or len(hops) > MAX_HOPS or len({h.endpoint_id for h in hops}) < len(hops):
            return PathChoice(considered=len(endpoints))
        return PathChoice(hops, _links(last), last.cost_ms, len(endpoints))

    def _crossing_ms(
        self, arrival: _Arrival, endpoint: EndpointEntry, *, full_links: bool
    ) -> float | None:
        """Return the time on the link to an endpoint, None where the link is full.

        A caller's own hop to the first engine carries only text.
        """
        mbps = self.model.cross_link_mbps
        if arrival.endpoint is None or arrival.data_centre == endpoint.data_centre or mbps <= 0:
            return 0.0
        link = frozenset((arrival.data_centre, endpoint.data_centre))
        if not full_links and not self.links.has_room(link, mbps):
            return None
        busy = min(self.links.busy_share(link, mbps), MAX_BUSY)
        return crossing_bits(self.model, self.demand) / (mbps * 1000) / (1 - busy)

    def _layer_cost_ms(self, endpoint: EndpointEntry) -> float:
        """Return the time for one layer of the whole request, beside what runs already."""
        model, demand = self.model, self.demand
        kind = model.kind_by_name.get(endpoint.kind)
        if kind is None:
            return float("inf")
        context_k = (demand.prompt_tokens + demand.answer_tokens / 2) / 1000
        per_sequence_ms = model.sequence_step_ms + model.context_step_ms * context_k
        sequences = self.loads.of(endpoint.id).running(self.now) + 1
        step_ms = kind.step_factor * (model.step_ms + per_sequence_ms * sequences)
        read_ms = demand.prompt_tokens * kind.read_factor / model.read_tokens_per_ms
        return (read_ms + demand.answer_tokens * step_ms) / model.layers


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
