"""Selects the pipeline of engines that a request passes through.

Load pattern: a burst of requests over engines of different speed. The cost of a path through all
layers is the time that its stages would take with this request added. Stages without enough memory
for the request are excluded, so that an admitted prompt is not preempted during decoding. Prefill
time counts in full. Decode time occupies KV cache that other requests wait for, so it is weighted
by the memory utilization of the engines: while they are empty, a faster path does not justify a
transfer between data centres.
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

MAX_MEMORY_UTILIZATION = 0.95  # answers often exceed their expected length
MAX_COSTED_LINK_UTILIZATION = 0.9  # keeps the cost of a saturated link finite
MAX_HOPS = 32  # engines reject longer paths
NO_UNREPORTED_LOAD: Mapping[str, float] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class RequestSize:
    """The tokens that one request needs at each stage."""

    prompt_tokens: float
    answer_tokens: float

    @property
    def tokens(self) -> float:
        """Return the KV cache size in tokens at the end of the answer."""
        return self.prompt_tokens + self.answer_tokens

    @property
    def mean_tokens(self) -> float:
        """Return the mean KV cache size in tokens while the answer is decoded."""
        return self.prompt_tokens + self.answer_tokens / 2


@dataclass(frozen=True, slots=True)
class PathChoice:
    """The cheapest path; ``hops`` is empty if there is none."""

    hops: tuple[Hop, ...] = ()
    links: tuple[Link, ...] = ()
    cost_ms: float = 0.0
    considered_count: int = 0


def choose_path(
    model: LayeredModel,
    endpoints: Iterable[EndpointEntry],
    loads: EndpointLoads,
    links: LinkLoads,
    request_size: RequestSize,
    *,
    excluded_ids: frozenset[str] = frozenset(),
    excluded_first_ids: frozenset[str] = frozenset(),
    unreported_by_id: Mapping[str, float] = NO_UNREPORTED_LOAD,
    include_suspects: bool = False,
) -> PathChoice:
    """Return the cheapest path over usable engines with memory and links with capacity.

    The engines in ``excluded_first_ids`` can only continue a path: they get no request themselves.
    With ``include_suspects``, engines that recently failed or refused a request count as usable.
    ``unreported_by_id`` adds an estimate of the requests that other daemons have not yet reported.
    """
    now = time.monotonic()
    candidates = []
    held_tokens = capacity = 0.0
    for endpoint in _usable(endpoints, loads, excluded_ids, now, include_suspects):
        load = loads.get(endpoint.id)
        memory = _memory(model, endpoint, load, now, unreported_by_id.get(endpoint.id, 0.0))
        held_tokens += min(memory.held_tokens, memory.capacity)
        capacity += memory.capacity
        if memory.has_slot and memory.held_tokens + request_size.tokens <= memory.capacity:
            candidates.append(endpoint)
    memory_utilization = held_tokens / capacity if capacity else 1.0
    search = _Search(model, loads, links, request_size, now, unreported_by_id, memory_utilization)
    return search.find_cheapest(candidates, excluded_first_ids=excluded_first_ids)


def all_layers_available(
    model: LayeredModel,
    endpoints: Iterable[EndpointEntry],
    loads: EndpointLoads,
    links: LinkLoads,
    request_size: RequestSize,
    *,
    excluded_ids: frozenset[str] = frozenset(),
) -> bool:
    """Return whether usable engines hold all layers, at any load of engines and links.

    Distinguishes engines at capacity from layers that no usable engine holds.
    """
    now = time.monotonic()
    search = _Search(model, loads, links, request_size, now, NO_UNREPORTED_LOAD)
    return bool(
        search.find_cheapest(
            _usable(endpoints, loads, excluded_ids, now), include_full_links=True
        ).hops
    )


def _usable(
    endpoints: Iterable[EndpointEntry],
    loads: EndpointLoads,
    excluded_ids: frozenset[str],
    now: float,
    include_suspects: bool = False,
) -> list[EndpointEntry]:
    return [
        e
        for e in endpoints
        if e.layers is not None
        and not e.leaving
        and e.id not in excluded_ids
        and (include_suspects or not loads.get(e.id).suspect(now))
    ]


@dataclass(frozen=True, slots=True)
class _Memory:
    """The KV cache capacity and use of an engine, in tokens."""

    capacity: float
    held_tokens: float
    has_slot: bool


def _memory(
    model: LayeredModel, endpoint: EndpointEntry, load: EndpointLoad, now: float, unreported: float
) -> _Memory:
    assert endpoint.layers is not None
    kind = model.kind_by_name.get(endpoint.kind)
    if kind is None:
        return _Memory(0.0, 0.0, has_slot=False)
    unreported += _standard_error(unreported, load.peer_requests)
    typical_tokens = model.typical_prompt_tokens + model.typical_answer_tokens / 2
    return _Memory(
        token_capacity(model, kind, len(endpoint.layers)) * MAX_MEMORY_UTILIZATION,
        load.own_tokens + (load.other_requests(now) + unreported) * typical_tokens,
        has_slot=load.running(now) + unreported < model.slots,
    )


def _standard_error(unreported: float, reported: int) -> float:
    """Return the standard error of an estimate of unreported requests.

    Daemons place requests independently, so a count varies by its square root, and what is
    extrapolated from it varies in proportion.
    """
    return unreported / math.sqrt(reported) if reported else math.sqrt(unreported)


@dataclass(frozen=True, slots=True)
class _PartialPath:
    """The cheapest path through all layers below some layer."""

    cost_ms: float
    data_centre: str
    endpoint: EndpointEntry | None = None
    layers: LayerRange | None = None
    previous: "_PartialPath | None" = None


@dataclass(frozen=True, slots=True)
class _Search:
    """A shortest-path search over layers for one request."""

    model: LayeredModel
    loads: EndpointLoads
    links: LinkLoads
    request_size: RequestSize
    now: float
    unreported_by_id: Mapping[str, float]
    memory_utilization: float = 1.0

    def find_cheapest(
        self,
        endpoints: list[EndpointEntry],
        *,
        excluded_first_ids: frozenset[str] = frozenset(),
        include_full_links: bool = False,
    ) -> PathChoice:
        """Return the cheapest path over endpoints, optionally over full links too.

        The cheapest path to a layer may end in a data centre whose outgoing links are full or slow,
        so the search keeps the cheapest partial path per data centre.
        """
        paths_by_layer: defaultdict[int, dict[str, _PartialPath]] = defaultdict(dict)
        paths_by_layer[0][""] = _PartialPath(0.0, "")
        start_layers = sorted({0, *(e.layers.end for e in endpoints if e.layers)})
        layer_cost_ms_by_id = {e.id: self._layer_cost_ms(e) for e in endpoints}
        holders_by_layer = _holders_by_layer(endpoints, start_layers)
        transfer_ms_by_ends: dict[tuple[str, str], float | None] = {}
        for layer in start_layers:
            for start, path in paths_by_layer[layer].items():
                for endpoint, held in holders_by_layer[layer]:
                    if layer == 0 and endpoint.id in excluded_first_ids:
                        continue
                    ends = start, endpoint.data_centre
                    if ends not in transfer_ms_by_ends:
                        transfer_ms_by_ends[ends] = self._transfer_ms(
                            *ends, include_full_links=include_full_links
                        )
                    transfer_ms = transfer_ms_by_ends[ends]
                    if transfer_ms is None:
                        continue
                    layers = LayerRange(layer, held.end)
                    cost_ms = (
                        path.cost_ms + transfer_ms + layer_cost_ms_by_id[endpoint.id] * len(layers)
                    )
                    best_known = paths_by_layer[held.end].get(endpoint.data_centre)
                    if best_known is None or cost_ms < best_known.cost_ms:
                        paths_by_layer[held.end][endpoint.data_centre] = _PartialPath(
                            cost_ms, endpoint.data_centre, endpoint, layers, path
                        )
        complete_paths = paths_by_layer[self.model.layers].values()
        best = min(complete_paths, key=lambda path: path.cost_ms, default=None)
        hops = _build_hops(best)
        if best is None or len(hops) > MAX_HOPS or len({h.endpoint_id for h in hops}) < len(hops):
            return PathChoice(considered_count=len(endpoints))
        return PathChoice(hops, _crossed_links(best), best.cost_ms, len(endpoints))

    def _transfer_ms(self, start: str, end: str, *, include_full_links: bool) -> float | None:
        """Return the transfer time between two data centres, or None if their link is full.

        The transfer to the first engine carries only text, so it is free.
        """
        mbps = self.model.inter_data_centre_mbps
        if not start or start == end or mbps <= 0:
            return 0.0
        link = frozenset((start, end))
        if not include_full_links and not self.links.has_room(link, mbps):
            return None
        utilization = min(self.links.utilization(link, mbps), MAX_COSTED_LINK_UTILIZATION)
        return transfer_bits(self.model, self.request_size) / (mbps * 1000) / (1 - utilization)

    def _layer_cost_ms(self, endpoint: EndpointEntry) -> float:
        """Return the time per layer for the request, batched with the running sequences."""
        model, request_size = self.model, self.request_size
        kind = model.kind_by_name.get(endpoint.kind)
        if kind is None:
            return float("inf")
        context_kilotokens = (request_size.prompt_tokens + request_size.answer_tokens / 2) / 1000
        per_sequence_ms = (
            model.step_ms_per_sequence + model.step_ms_per_1k_context * context_kilotokens
        )
        unreported = self.unreported_by_id.get(endpoint.id, 0.0)
        sequences = self.loads.get(endpoint.id).running(self.now) + unreported + 1
        step_ms = kind.step_factor * (model.step_ms + per_sequence_ms * sequences)
        prefill_ms = request_size.prompt_tokens * kind.prefill_factor / model.prefill_tokens_per_ms
        return (
            prefill_ms + self.memory_utilization * request_size.answer_tokens * step_ms
        ) / model.layers


def _holders_by_layer(
    endpoints: Iterable[EndpointEntry], start_layers: list[int]
) -> defaultdict[int, list[tuple[EndpointEntry, LayerRange]]]:
    """Return the engines that hold each of the sorted start layers, with their layer ranges."""
    holders_by_layer = defaultdict(list)
    for endpoint in endpoints:
        held = endpoint.layers
        if held is None:
            continue
        for index in range(
            bisect_left(start_layers, held.first), bisect_left(start_layers, held.end)
        ):
            holders_by_layer[start_layers[index]].append((endpoint, held))
    return holders_by_layer


def transfer_bits(model: LayeredModel, request_size: RequestSize) -> float:
    """Return the bits that a request transfers between two consecutive stages."""
    return request_size.tokens * model.activation_bytes * 8


def _build_hops(path: _PartialPath | None) -> tuple[Hop, ...]:
    hops = []
    while path is not None and path.endpoint is not None and path.layers is not None:
        hops.append(Hop(path.endpoint.id, path.endpoint.address, path.layers))
        path = path.previous
    return tuple(reversed(hops))


def _crossed_links(path: _PartialPath | None) -> tuple[Link, ...]:
    links = []
    while path is not None and path.previous is not None:
        previous = path.previous
        if previous.endpoint is not None and previous.data_centre != path.data_centre:
            links.append(frozenset((previous.data_centre, path.data_centre)))
        path = previous
    return tuple(links)
