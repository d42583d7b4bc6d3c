"""Selects the chain of pipeline stages with the lowest expected time for a sequence."""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ragwortpaddled.errors import NoChainError
from ragwortpaddled.state import Endpoint

MAX_COST_JITTER = 0.25
REMOTE_COST_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class SequenceSize:
    """The expected number of prompt and generated tokens of a sequence."""

    prompt_tokens: int
    answer_tokens: int


@dataclass(frozen=True, slots=True)
class ChainContext:
    """The inputs of a chain selection besides the endpoints and the sequence.

    ``cached_endpoints`` and ``excluded_endpoints`` hold endpoint names: those that have the prompt
    prefix in their KV cache, and those that must not be selected. ``now`` is on the monotonic
    clock, in seconds.
    """

    now: float
    data_centre: str
    cached_endpoints: frozenset[str] = frozenset()
    excluded_endpoints: frozenset[str] = frozenset()


def covers_all_layers(endpoints: Iterable[Endpoint], layers: int) -> bool:
    """Return whether some chain of the endpoints covers every layer exactly once."""
    if layers <= 0:
        return False
    reachable_layers = {0}
    ranges = sorted({(e.report.first_layer, e.report.end_layer) for e in endpoints})
    for first_layer, end_layer in ranges:
        if first_layer in reachable_layers:
            reachable_layers.add(end_layer)
    return layers in reachable_layers


def choose_chain(
    endpoints: Sequence[Endpoint],
    layers: int,
    size: SequenceSize,
    context: ChainContext,
    random_source: random.Random,
) -> list[Endpoint]:
    """Return endpoints that cover 0 to ``layers`` without gap or overlap at the lowest cost.

    :raises NoChainError: the usable endpoints do not cover all layers
    """
    usable = [
        e for e in endpoints if e.usable(context.now) and e.name not in context.excluded_endpoints
    ]
    # Load reports lag, so without jitter all daemons would select the same cheapest endpoints.
    endpoint_costs = [
        (endpoint, _cost(endpoint, size, context) * random_source.uniform(1, 1 + MAX_COST_JITTER))
        for endpoint in usable
        if endpoint.report.layers == layers
    ]
    endpoint_costs.sort(key=lambda pair: pair[0].report.first_layer)
    best_cost_by_end_layer = {0: 0.0}
    last_stage_by_end_layer: dict[int, Endpoint] = {}
    for endpoint, cost in endpoint_costs:
        first_layer, end_layer = endpoint.report.first_layer, endpoint.report.end_layer
        if first_layer not in best_cost_by_end_layer or end_layer <= first_layer:
            continue
        total = best_cost_by_end_layer[first_layer] + cost
        if total < best_cost_by_end_layer.get(end_layer, math.inf):
            best_cost_by_end_layer[end_layer] = total
            last_stage_by_end_layer[end_layer] = endpoint
    if layers not in last_stage_by_end_layer:
        raise NoChainError(f"no usable endpoints cover layers 0 to {layers}")
    return _backtrack(last_stage_by_end_layer, layers)


def _cost(endpoint: Endpoint, size: SequenceSize, context: ChainContext) -> float:
    """Return the expected time that a sequence spends at an endpoint, in milliseconds."""
    now = context.now
    capacity = endpoint.max_batch() * endpoint.circuit.slow_start_share(now)
    load_factor = max(1.0, (endpoint.load(now) + 1) / capacity)
    prompt_tokens = 1 if endpoint.name in context.cached_endpoints else size.prompt_tokens
    cost = endpoint.prefill_ms(prompt_tokens, now)
    cost += endpoint.step_ms(now) * size.answer_tokens
    if endpoint.vm.data_centre != context.data_centre:
        cost *= REMOTE_COST_FACTOR
    return cost * load_factor


def _backtrack(last_stage_by_end_layer: dict[int, Endpoint], layers: int) -> list[Endpoint]:
    chain = []
    end_layer = layers
    while end_layer > 0:
        endpoint = last_stage_by_end_layer[end_layer]
        chain.append(endpoint)
        end_layer = endpoint.report.first_layer
    chain.reverse()
    return chain
