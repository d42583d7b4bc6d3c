"""Chooses the chain of stages for a sequence: the least expected time over all layers once."""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ragwortpaddled.errors import NoChainError
from ragwortpaddled.state import Endpoint

HERD_JITTER = 0.25
REMOTE_PENALTY = 1.5


@dataclass(frozen=True, slots=True)
class Work:
    """What a sequence will ask of each stage."""

    prompt_tokens: int
    answer_tokens: int


@dataclass(frozen=True, slots=True)
class ChainContext:
    """Where and when a chain is chosen; ``cached`` names endpoints that hold the prefix."""

    now: float
    data_centre: str
    cached: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()


def covers(endpoints: Iterable[Endpoint], layers: int) -> bool:
    """Tell whether some chain of the endpoints covers every layer once."""
    if layers <= 0:
        return False
    reached = {0}
    ranges = sorted({(e.report.first_layer, e.report.end_layer) for e in endpoints})
    for first_layer, end_layer in ranges:
        if first_layer in reached:
            reached.add(end_layer)
    return layers in reached


def choose_chain(
    endpoints: Sequence[Endpoint],
    layers: int,
    work: Work,
    context: ChainContext,
    random_source: random.Random,
) -> list[Endpoint]:
    """Return endpoints that cover 0 to ``layers`` without gap or overlap at the least cost.

    :raises NoChainError: no usable endpoints do
    """
    usable = [e for e in endpoints if e.usable(context.now) and e.name not in context.excluded]
    # Reports lag, so daemons that all took the cheapest would herd; the jitter spreads them.
    costs = [
        (endpoint, _cost(endpoint, work, context) * random_source.uniform(1, 1 + HERD_JITTER))
        for endpoint in usable
        if endpoint.report.layers == layers
    ]
    costs.sort(key=lambda pair: pair[0].report.first_layer)
    best_cost = {0: 0.0}
    last_stage: dict[int, Endpoint] = {}
    for endpoint, cost in costs:
        first_layer, end_layer = endpoint.report.first_layer, endpoint.report.end_layer
        if first_layer not in best_cost or end_layer <= first_layer:
            continue
        total = best_cost[first_layer] + cost
        if total < best_cost.get(end_layer, math.inf):
            best_cost[end_layer] = total
            last_stage[end_layer] = endpoint
    if layers not in last_stage:
        raise NoChainError(f"no usable endpoints cover layers 0 to {layers}")
    return _trace_back(last_stage, layers)


def _cost(endpoint: Endpoint, work: Work, context: ChainContext) -> float:
    """Return the expected milliseconds that a sequence spends at an endpoint."""
    now = context.now
    capacity = endpoint.max_batch() * endpoint.circuit.share(now)
    crowding = max(1.0, (endpoint.load(now) + 1) / capacity)
    prompt_tokens = 1 if endpoint.name in context.cached else work.prompt_tokens
    cost = endpoint.prefill_ms(prompt_tokens, now)
    cost += endpoint.step_ms(now) * work.answer_tokens
    if endpoint.vm.data_centre != context.data_centre:
        cost *= REMOTE_PENALTY
    return cost * crowding


def _trace_back(last_stage: dict[int, Endpoint], layers: int) -> list[Endpoint]:
    chain = []
    reached = layers
    while reached > 0:
        endpoint = last_stage[reached]
        chain.append(endpoint)
        reached = endpoint.report.first_layer
    chain.reverse()
    return chain
