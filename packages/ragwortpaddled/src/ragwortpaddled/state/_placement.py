"""Plans and repairs the placement of a model's layers on engines, as pipelines called chains.

Load pattern: bursts exhaust the KV cache of engines long before their compute. A chain can run only
as many sequences as its stage with the least free memory, so the layers are divided to give all
stages of a chain memory for the same number of tokens. More chains have less memory each, since
every chain holds all layers once; fewer chains lose a larger share of the capacity with an engine.
So the plan is chosen by the rate that is expected to remain when one engine has failed.

Load pattern for repairs: a rolling release replaces about one engine per second, or several engines
leave at once. Every layer that moves must be loaded, and concurrent loads slow each other down. So
a broken chain keeps the order of its engines and shifts its layer boundaries by a few layers.
"""

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from ragwortpaddled.protocol import AcceleratorKind, LayeredModel, LayerRange

# Daemons that place requests concurrently each miscount by about one sequence, so a chain with
# memory for only a few sequences would reject requests more often than run them.
MIN_SEQUENCES_PER_CHAIN = 12
BISECTION_STEPS = 16  # resolves the memory of a stage to less than the tokens of one request
# Neighbouring stages that fill a gap load few layers and keep serving meanwhile. So they fill
# it, unless that leaves less than this share of the token capacity that a redistribution of all
# layers would give.
MIN_FILLED_CAPACITY_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine that can hold layers; ``held`` are the layers it holds now."""

    id: str
    data_centre: str
    kind: str
    held: LayerRange | None = None


@dataclass(frozen=True, slots=True)
class Stage:
    """One pipeline stage of a chain: an engine and its layers."""

    engine_id: str
    layers: LayerRange


Chain = tuple[Stage, ...]


def token_capacity(model: LayeredModel, kind: AcceleratorKind, layer_count: int) -> float:
    """Return the KV cache capacity of an engine in tokens, after loading its layers."""
    free_mb = kind.memory_mb - layer_count * model.layer_mb
    return free_mb / (model.kv_mb_per_token_layer * layer_count)


def max_layer_count(model: LayeredModel, kind: AcceleratorKind, tokens: float) -> int:
    """Return the number of layers that an engine can hold with KV cache for some tokens."""
    per_layer_mb = model.layer_mb + tokens * model.kv_mb_per_token_layer
    return min(model.layers, math.floor(kind.memory_mb / per_layer_mb))


def plan_chains(model: LayeredModel, engines: Sequence[Engine]) -> list[Chain]:
    """Return the chains with the highest expected rate after an engine's failure, none if none fit.

    Load pattern: a traffic peak that lasts longer than requests can be queued, during which engines
    fail.
    """
    min_tokens = MIN_SEQUENCES_PER_CHAIN * _typical_tokens(model)
    max_chain_count = len(_form_groups(model, engines, min_tokens))
    kind_by_id = {engine.id: model.kind_by_name[engine.kind] for engine in engines}
    best: list[Chain] = []
    best_rate = -1.0
    count = 1
    while count <= max_chain_count:
        groups = _form_groups(model, engines, _max_tokens(model, engines, count, min_tokens))
        chains = [_build_chain(model, group) for group in groups]
        rate = _rate_after_failure(model, chains, kind_by_id)
        if rate > best_rate:
            best, best_rate = chains, rate
        count = max(count, len(chains)) + 1
    return best


def repair_chains(
    model: LayeredModel, chains: Sequence[Chain], engines: Sequence[Engine]
) -> list[Chain]:
    """Return the chains after engines have joined or left.

    Complete chains are kept unchanged. A broken chain gets spare engines for its missing layers;
    otherwise the neighbouring stages take them, or all stages are redistributed if that would leave
    the neighbours too little memory. Engines of chains that cannot be repaired are planned again
    with the remaining spares.
    """
    engine_by_id = {engine.id: engine for engine in engines}
    kept = [chain for chain in chains if all(s.engine_id in engine_by_id for s in chain)]
    used = {stage.engine_id for chain in chains for stage in chain}
    spares = [engine for engine in engines if engine.id not in used]
    broken = [chain for chain in chains if chain not in kept]
    for chain in sorted(broken, key=lambda c: sum(s.engine_id not in engine_by_id for s in c)):
        repaired = _repair(model, chain, engine_by_id, spares)
        if repaired is None:
            spares += [engine_by_id[s.engine_id] for s in chain if s.engine_id in engine_by_id]
            continue
        kept.append(repaired)
        taken = {stage.engine_id for stage in repaired}
        spares = [engine for engine in spares if engine.id not in taken]
    return kept + plan_chains(model, spares)


def _repair(
    model: LayeredModel,
    chain: Chain,
    engine_by_id: Mapping[str, Engine],
    spares: Sequence[Engine],
) -> Chain | None:
    """Fill the gaps of a chain, or redistribute all its layers if that leaves far more memory."""
    filled = _fill_gaps(model, chain, engine_by_id, spares)
    redistributed = _redistribute(model, chain, engine_by_id)
    if filled is None or redistributed is None:
        return filled or redistributed
    kinds = {e.id: model.kind_by_name[e.kind] for e in (*engine_by_id.values(), *spares)}

    def tokens(candidate: Chain) -> float:
        return min(token_capacity(model, kinds[s.engine_id], len(s.layers)) for s in candidate)

    return (
        filled
        if tokens(filled) >= MIN_FILLED_CAPACITY_SHARE * tokens(redistributed)
        else redistributed
    )


def _redistribute(
    model: LayeredModel, chain: Chain, engine_by_id: Mapping[str, Engine]
) -> Chain | None:
    """Divide all layers between the remaining engines of a chain, in their present order."""
    remaining = [
        replace(engine_by_id[stage.engine_id], held=stage.layers)
        for stage in chain
        if stage.engine_id in engine_by_id
    ]
    min_tokens = MIN_SEQUENCES_PER_CHAIN * _typical_tokens(model)

    def members(tokens: float) -> list[_GroupMember]:
        return [
            _GroupMember(engine, max_layer_count(model, model.kind_by_name[engine.kind], tokens))
            for engine in remaining
        ]

    if sum(member.max_layers for member in members(min_tokens)) < model.layers:
        return None
    low, high = min_tokens, model.slots * _typical_tokens(model) * 4
    for _ in range(BISECTION_STEPS):
        midpoint = (low + high) / 2
        if sum(member.max_layers for member in members(midpoint)) >= model.layers:
            low = midpoint
        else:
            high = midpoint
    return _build_chain(model, [member for member in members(low) if member.max_layers > 0])


def _typical_tokens(model: LayeredModel) -> float:
    return model.typical_prompt_tokens + model.typical_answer_tokens


def _fill_gaps(
    model: LayeredModel,
    chain: Chain,
    engine_by_id: Mapping[str, Engine],
    spares: Sequence[Engine],
) -> Chain | None:
    """Assign the missing layers to spare engines first, then to the stages beside each gap."""
    min_tokens = MIN_SEQUENCES_PER_CHAIN * _typical_tokens(model)
    free_spares = list(spares)
    present = [s for s in chain if s.engine_id in engine_by_id]
    if not present:
        return None
    chain_data_centres = [engine_by_id[s.engine_id].data_centre for s in present]
    stages: list[Stage] = []
    next_layer = 0
    for stage in [*present, None]:
        end = stage.layers.first if stage is not None else model.layers
        if end > next_layer:
            stages += _assign_spares(
                model, LayerRange(next_layer, end), free_spares, chain_data_centres, min_tokens
            )
        if stage is not None:
            stages.append(stage)
            next_layer = stage.layers.end
    return _extend_neighbours(model, stages, engine_by_id, min_tokens)


def _assign_spares(
    model: LayeredModel,
    gap: LayerRange,
    spares: list[Engine],
    chain_data_centres: Sequence[str],
    min_tokens: float,
) -> list[Stage]:
    """Take spares for a gap, in the chain's data centres first, and divide it by their capacity.

    The spares taken are removed from the list.
    """

    def max_layers_of(engine: Engine) -> int:
        return max_layer_count(model, model.kind_by_name[engine.kind], min_tokens)

    chosen: list[Engine] = []
    missing_layers = len(gap)
    while missing_layers > 0 and spares:
        best = max(
            spares, key=lambda e: (chain_data_centres.count(e.data_centre), max_layers_of(e), e.id)
        )
        spares.remove(best)
        chosen.append(best)
        missing_layers -= max_layers_of(best)
    total_layers = sum(max_layers_of(engine) for engine in chosen)
    covered = min(total_layers, len(gap))
    stages = []
    first, assigned = gap.first, 0
    for engine in chosen:
        assigned += max_layers_of(engine)
        end = gap.first + covered * assigned // total_layers
        if end > first:
            stages.append(Stage(engine.id, LayerRange(first, end)))
        first = end
    return stages


def _extend_neighbours(
    model: LayeredModel,
    stages: Sequence[Stage],
    engine_by_id: Mapping[str, Engine],
    min_tokens: float,
) -> Chain | None:
    """Extend the stages beside each gap over its layers; return None if they lack the memory."""
    ranges = [[stage.layers.first, stage.layers.end] for stage in stages]

    def free_layers(index: int) -> int:
        kind = model.kind_by_name[engine_by_id[stages[index].engine_id].kind]
        return max_layer_count(model, kind, min_tokens) - (ranges[index][1] - ranges[index][0])

    for index in range(len(stages)):
        previous_end = ranges[index - 1][1] if index else 0
        missing_layers = ranges[index][0] - previous_end
        if index:
            extension = max(0, min(missing_layers, free_layers(index - 1)))
            ranges[index - 1][1] += extension
            missing_layers -= extension
        ranges[index][0] -= max(0, min(missing_layers, free_layers(index)))
        if ranges[index][0] > (ranges[index - 1][1] if index else 0):
            return None
    last = len(stages) - 1
    ranges[last][1] += max(0, min(model.layers - ranges[last][1], free_layers(last)))
    if ranges[last][1] < model.layers:
        return None
    return tuple(
        Stage(stage.engine_id, LayerRange(first, end))
        for stage, (first, end) in zip(stages, ranges, strict=True)
    )


def _rate_after_failure(
    model: LayeredModel, chains: Sequence[Chain], kind_by_id: Mapping[str, AcceleratorKind]
) -> float:
    """Return the expected requests per second of all chains after one of their engines fails.

    Every engine is equally likely to fail, and its whole chain stops with it.
    """
    rates = [_chain_rate(model, chain, kind_by_id) for chain in chains]
    engine_count = sum(len(chain) for chain in chains)
    return sum(
        len(chain) / engine_count * (sum(rates) - rate)
        for chain, rate in zip(chains, rates, strict=True)
    )


def _chain_rate(
    model: LayeredModel, chain: Chain, kind_by_id: Mapping[str, AcceleratorKind]
) -> float:
    """Return the requests per second of a chain whose narrowest stage is full."""
    tokens = min(token_capacity(model, kind_by_id[s.engine_id], len(s.layers)) for s in chain)
    step_factor = sum(kind_by_id[s.engine_id].step_factor * len(s.layers) for s in chain)
    prefill_factor = sum(kind_by_id[s.engine_id].prefill_factor * len(s.layers) for s in chain)
    sequences = min(model.slots, tokens / _typical_tokens(model))
    context_kilotokens = (model.typical_prompt_tokens + model.typical_answer_tokens / 2) / 1000
    per_sequence_ms = model.step_ms_per_sequence + model.step_ms_per_1k_context * context_kilotokens
    step_ms = step_factor / model.layers * (model.step_ms + per_sequence_ms * sequences)
    prefill_ms = (
        model.typical_prompt_tokens * prefill_factor / model.layers / model.prefill_tokens_per_ms
    )
    return 1000 * sequences / (prefill_ms + model.typical_answer_tokens * step_ms)


def _max_tokens(
    model: LayeredModel, engines: Sequence[Engine], count: int, min_tokens: float
) -> float:
    """Return the largest capacity in tokens with which the engines form ``count`` chains."""
    low, high = min_tokens, model.slots * _typical_tokens(model) * 4
    for _ in range(BISECTION_STEPS):
        midpoint = (low + high) / 2
        if len(_form_groups(model, engines, midpoint)) >= count:
            low = midpoint
        else:
            high = midpoint
    return low


@dataclass(frozen=True, slots=True)
class _GroupMember:
    engine: Engine
    max_layers: int


def _form_groups(
    model: LayeredModel, engines: Sequence[Engine], tokens: float
) -> list[list[_GroupMember]]:
    """Form groups that can hold all layers, within data centres first, then across them."""
    members_by_data_centre: defaultdict[str, list[_GroupMember]] = defaultdict(list)
    for engine in sorted(engines, key=lambda e: e.id):
        max_layers = max_layer_count(model, model.kind_by_name[engine.kind], tokens)
        if max_layers > 0:
            members_by_data_centre[engine.data_centre].append(_GroupMember(engine, max_layers))
    groups = []
    for data_centre in sorted(members_by_data_centre):
        members = members_by_data_centre[data_centre]
        while sum(m.max_layers for m in members) >= model.layers:
            groups.append(_take_members(members, model.layers))
    while sum(m.max_layers for ms in members_by_data_centre.values() for m in ms) >= model.layers:
        groups.append(_take_members_across_data_centres(members_by_data_centre, model.layers))
    return groups


def _take_members(members: list[_GroupMember], layers: int) -> list[_GroupMember]:
    """Remove and return members that can hold the layers with little excess capacity."""
    group: list[_GroupMember] = []
    missing_layers = layers
    while missing_layers > 0:
        fitting = [m for m in members if m.max_layers <= missing_layers]
        completing = [m for m in members if m.max_layers >= missing_layers]
        if completing and (not fitting or min(m.max_layers for m in completing) == missing_layers):
            chosen = min(completing, key=lambda m: m.max_layers)
        else:
            chosen = max(fitting, key=lambda m: m.max_layers)
        members.remove(chosen)
        group.append(chosen)
        missing_layers -= chosen.max_layers
    return group


def _take_members_across_data_centres(
    members_by_data_centre: dict[str, list[_GroupMember]], layers: int
) -> list[_GroupMember]:
    """Remove and return members from as few data centres as possible, grouped by data centre."""
    group: list[_GroupMember] = []
    missing_layers = layers
    ranked = sorted(
        members_by_data_centre.values(), key=lambda ms: sum(m.max_layers for m in ms), reverse=True
    )
    for members in ranked:
        available = sum(m.max_layers for m in members)
        if available == 0:
            continue
        taken = _take_members(members, min(missing_layers, available))
        group += taken
        missing_layers -= sum(m.max_layers for m in taken)
        if missing_layers <= 0:
            break
    return group


def _build_chain(model: LayeredModel, group: Sequence[_GroupMember]) -> Chain:
    """Divide the layers so that the smallest free memory of any stage is as large as possible."""
    counts = [member.max_layers for member in group]
    kinds = [model.kind_by_name[member.engine.kind] for member in group]

    def capacity_at(index: int) -> float:
        return token_capacity(model, kinds[index], counts[index])

    for _ in range(sum(counts) - model.layers):
        index = min((i for i, c in enumerate(counts) if c > 1), key=capacity_at)
        counts[index] -= 1
    count_by_id = {m.engine.id: count for m, count in zip(group, counts, strict=True)}
    chain = []
    first = 0
    for member in _order_members(group):
        end = first + count_by_id[member.engine.id]
        chain.append(Stage(member.engine.id, LayerRange(first, end)))
        first = end
    return tuple(chain)


def _order_members(group: Sequence[_GroupMember]) -> list[_GroupMember]:
    """Order members by data centre, then by the layers that they already hold."""
    data_centres = list(dict.fromkeys(member.engine.data_centre for member in group))

    def sort_key(member: _GroupMember) -> tuple[int, float]:
        held = member.engine.held
        midpoint = (held.first + held.end) / 2 if held else math.inf
        return data_centres.index(member.engine.data_centre), midpoint

    return sorted(group, key=sort_key)
