"""Which engine holds which layers.

Load pattern: bursts that fill engine memory long before the arithmetic is busy. A chain carries no
more sequences than its narrowest stage has memory for, so the ranges give every stage of a chain
memory for the same number of tokens, and the number of chains trades that memory against speed.

Load pattern of repairs: a release replaces an engine a second, or some leave at once. Each layer
that moves has to be loaded, and loads slow each other, so a broken chain keeps its engines in their
order and moves its cut points by a few layers.
"""

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from ragwortpaddled.protocol import AcceleratorKind, LayeredModel, LayerRange

# Daemons that choose at the same time are off by a sequence each, so a chain with room for few is
# refused more often than used.
MIN_SEQUENCES_PER_CHAIN = 12
# More chains than the fastest number are taken at this share of its rate: each failure costs less.
ACCEPTED_RATE_SHARE = 0.8
SEARCH_STEPS = 24
# Neighbours that take over a hole keep serving meanwhile, and few layers are loaded; that is worth
# less memory, but not a chain of half the size.
FILLED_TOKENS_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine that can hold layers."""

    id: str
    data_centre: str
    kind: str
    held: LayerRange | None = None


@dataclass(frozen=True, slots=True)
class Stage:
    """The layers that one engine of a chain holds."""

    engine_id: str
    layers: LayerRange


Chain = tuple[Stage, ...]


def token_capacity(model: LayeredModel, kind: AcceleratorKind, layer_count: int) -> float:
    """Return the tokens for which an engine has memory beside its layers."""
    free_mb = kind.memory_mb - layer_count * model.layer_mb
    return free_mb / (model.token_layer_mb * layer_count)


def layer_limit(model: LayeredModel, kind: AcceleratorKind, tokens: float) -> int:
    """Return the layers that an engine can hold beside memory for some tokens."""
    per_layer_mb = model.layer_mb + tokens * model.token_layer_mb
    return min(model.layers, math.floor(kind.memory_mb / per_layer_mb))


def plan_chains(model: LayeredModel, engines: Sequence[Engine]) -> list[Chain]:
    """Return the chains that serve the most at good speed, none where no chain fits."""
    floor_tokens = MIN_SEQUENCES_PER_CHAIN * _usual_tokens(model)
    most = len(_group(model, engines, floor_tokens))
    choices = []
    for count in range(1, most + 1):
        tokens = _most_tokens(model, engines, count, floor_tokens)
        choices.append((count, tokens, count * _chain_rate(model, engines, tokens)))
    if not choices:
        return []
    best_rate = max(rate for _, _, rate in choices)
    _, tokens, _ = max(c for c in choices if c[2] >= ACCEPTED_RATE_SHARE * best_rate)
    return [_cut(model, group) for group in _group(model, engines, tokens)]


def repair_chains(
    model: LayeredModel, chains: Sequence[Chain], engines: Sequence[Engine]
) -> list[Chain]:
    """Return the plan after engines came or went.

    Whole chains stay as they are. A broken one gets spare engines for its hole, else its neighbours
    take the lost layers, or all its engines do where the neighbours would have little memory left.
    Only what is then too small for a chain is planned anew.
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
    """Fill the holes of a chain, or move all its cut points where that leaves far more memory."""
    filled = _fill_holes(model, chain, engine_by_id, spares)
    recut = _recut(model, chain, engine_by_id)
    if filled is None or recut is None:
        return filled or recut
    kinds = {e.id: model.kind_by_name[e.kind] for e in (*engine_by_id.values(), *spares)}

    def tokens(one: Chain) -> float:
        return min(token_capacity(model, kinds[s.engine_id], len(s.layers)) for s in one)

    return filled if tokens(filled) >= FILLED_TOKENS_SHARE * tokens(recut) else recut


def _recut(model: LayeredModel, chain: Chain, engine_by_id: Mapping[str, Engine]) -> Chain | None:
    """Divide the layers anew between the engines that are left, in their order."""
    left = [
        replace(engine_by_id[stage.engine_id], held=stage.layers)
        for stage in chain
        if stage.engine_id in engine_by_id
    ]
    floor_tokens = MIN_SEQUENCES_PER_CHAIN * _usual_tokens(model)

    def members(tokens: float) -> list[_Member]:
        return [
            _Member(engine, layer_limit(model, model.kind_by_name[engine.kind], tokens))
            for engine in left
        ]

    if sum(member.limit for member in members(floor_tokens)) < model.layers:
        return None
    low, high = floor_tokens, model.slots * _usual_tokens(model) * 4
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        if sum(member.limit for member in members(middle)) >= model.layers:
            low = middle
        else:
            high = middle
    return _cut(model, [member for member in members(low) if member.limit > 0])


def _usual_tokens(model: LayeredModel) -> float:
    return model.usual_prompt_tokens + model.usual_answer_tokens


def _fill_holes(
    model: LayeredModel,
    chain: Chain,
    engine_by_id: Mapping[str, Engine],
    spares: Sequence[Engine],
) -> Chain | None:
    """Cover the lost layers with spare engines, then with the neighbours of each hole."""
    floor_tokens = MIN_SEQUENCES_PER_CHAIN * _usual_tokens(model)
    left = list(spares)
    present = [s for s in chain if s.engine_id in engine_by_id]
    if not present:
        return None
    homes = [engine_by_id[s.engine_id].data_centre for s in present]
    stages: list[Stage] = []
    point = 0
    for stage in [*present, None]:
        end = stage.layers.first if stage is not None else model.layers
        if end > point:
            stages += _cover(model, LayerRange(point, end), left, homes, floor_tokens)
        if stage is not None:
            stages.append(stage)
            point = stage.layers.end
    return _stretch(model, stages, engine_by_id, floor_tokens)


def _cover(
    model: LayeredModel,
    hole: LayerRange,
    spares: list[Engine],
    homes: Sequence[str],
    floor_tokens: float,
) -> list[Stage]:
    """Take spares for a hole, near ones first, and divide it between them by what they can hold."""

    def limit_of(engine: Engine) -> int:
        return layer_limit(model, model.kind_by_name[engine.kind], floor_tokens)

    chosen: list[Engine] = []
    missing = len(hole)
    while missing > 0 and spares:
        best = max(spares, key=lambda e: (homes.count(e.data_centre), limit_of(e), e.id))
        spares.remove(best)
        chosen.append(best)
        missing -= limit_of(best)
    total = sum(limit_of(engine) for engine in chosen)
    covered = min(total, len(hole))
    stages = []
    first, assigned = hole.first, 0
    for engine in chosen:
        assigned += limit_of(engine)
        end = hole.first + covered * assigned // total
        if end > first:
            stages.append(Stage(engine.id, LayerRange(first, end)))
        first = end
    return stages


def _stretch(
    model: LayeredModel,
    stages: Sequence[Stage],
    engine_by_id: Mapping[str, Engine],
    floor_tokens: float,
) -> Chain | None:
    """Let the stages beside each hole take over its layers, if they have room for them."""
    ranges = [[stage.layers.first, stage.layers.end] for stage in stages]

    def room(index: int) -> int:
        kind = model.kind_by_name[engine_by_id[stages[index].engine_id].kind]
        return layer_limit(model, kind, floor_tokens) - (ranges[index][1] - ranges[index][0])

    for index in range(len(stages)):
        before = ranges[index - 1][1] if index else 0
        missing = ranges[index][0] - before
        if index:
            grown = max(0, min(missing, room(index - 1)))
            ranges[index - 1][1] += grown
            missing -= grown
        ranges[index][0] -= max(0, min(missing, room(index)))
        if ranges[index][0] > (ranges[index - 1][1] if index else 0):
            return None
    last = len(stages) - 1
    ranges[last][1] += max(0, min(model.layers - ranges[last][1], room(last)))
    if ranges[last][1] < model.layers:
        return None
    return tuple(
        Stage(stage.engine_id, LayerRange(first, end))
        for stage, (first, end) in zip(stages, ranges, strict=True)
    )


def _chain_rate(model: LayeredModel, engines: Sequence[Engine], tokens: float) -> float:
    """Estimate the requests per second of one chain of average engines, full of sequences."""
    limits = [
        (layer_limit(model, kind, tokens), kind)
        for kind in (model.kind_by_name[engine.kind] for engine in engines)
    ]
    total = sum(limit for limit, _ in limits)
    step_factor = sum(limit * kind.step_factor for limit, kind in limits) / total
    read_factor = sum(limit * kind.read_factor for limit, kind in limits) / total
    sequences = min(model.slots, tokens / _usual_tokens(model))
    context_k = (model.usual_prompt_tokens + model.usual_answer_tokens / 2) / 1000
    per_sequence_ms = model.sequence_step_ms + model.context_step_ms * context_k
    step_ms = step_factor * (model.step_ms + per_sequence_ms * sequences)
    read_ms = model.usual_prompt_tokens * read_factor / model.read_tokens_per_ms
    return 1000 * sequences / (read_ms + model.usual_answer_tokens * step_ms)


def _most_tokens(
    model: LayeredModel, engines: Sequence[Engine], count: int, floor_tokens: float
) -> float:
    """Return the most tokens for which the engines still form a number of chains."""
    low, high = floor_tokens, model.slots * _usual_tokens(model) * 4
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        if len(_group(model, engines, middle)) >= count:
            low = middle
        else:
            high = middle
    return low


@dataclass(frozen=True, slots=True)
class _Member:
    engine: Engine
    limit: int


def _group(model: LayeredModel, engines: Sequence[Engine], tokens: float) -> list[list[_Member]]:
    """Form groups that can hold all layers: inside data centres first, then across them."""
    members_by_data_centre: defaultdict[str, list[_Member]] = defaultdict(list)
    for engine in sorted(engines, key=lambda e: e.id):
        limit = layer_limit(model, model.kind_by_name[engine.kind], tokens)
        if limit > 0:
            members_by_data_centre[engine.data_centre].append(_Member(engine, limit))
    groups = []
    for data_centre in sorted(members_by_data_centre):
        members = members_by_data_centre[data_centre]
        while sum(m.limit for m in members) >= model.layers:
            groups.append(_take_group(members, model.layers))
    while sum(m.limit for ms in members_by_data_centre.values() for m in ms) >= model.layers:
        groups.append(_take_across(members_by_data_centre, model.layers))
    return groups


def _take_group(members: list[_Member], layers: int) -> list[_Member]:
    """Take members that hold the layers and waste few."""
    group: list[_Member] = []
    missing = layers
    while missing > 0:
        fitting = [m for m in members if m.limit <= missing]
        closing = [m for m in members if m.limit >= missing]
        if closing and (not fitting or min(m.limit for m in closing) == missing):
            chosen = min(closing, key=lambda m: m.limit)
        else:
            chosen = max(fitting, key=lambda m: m.limit)
        members.remove(chosen)
        group.append(chosen)
        missing -= chosen.limit
    return group


def _take_across(members_by_data_centre: dict[str, list[_Member]], layers: int) -> list[_Member]:
    """Take members of as few data centres as can be, each data centre's side by side."""
    group: list[_Member] = []
    missing = layers
    ranked = sorted(
        members_by_data_centre.values(), key=lambda ms: sum(m.limit for m in ms), reverse=True
    )
    for members in ranked:
        available = sum(m.limit for m in members)
        if available == 0:
            continue
        taken = _take_group(members, min(missing, available))
        group += taken
        missing -= sum(m.limit for m in taken)
        if missing <= 0:
            break
    return group


def _cut(model: LayeredModel, group: Sequence[_Member]) -> Chain:
    """Divide the layers so that the stage with the least memory has as much as can be."""
    counts = [member.limit for member in group]
    kinds = [model.kind_by_name[member.engine.kind] for member in group]

    def tokens_at(index: int) -> float:
        return token_capacity(model, kinds[index], counts[index])

    for _ in range(sum(counts) - model.layers):
        index = min((i for i, c in enumerate(counts) if c > 1), key=tokens_at)
        counts[index] -= 1
    count_by_id = {m.engine.id: count for m, count in zip(group, counts, strict=True)}
    chain = []
    first = 0
    for member in _in_order(group):
        end = first + count_by_id[member.engine.id]
        chain.append(Stage(member.engine.id, LayerRange(first, end)))
        first = end
    return tuple(chain)


def _in_order(group: Sequence[_Member]) -> list[_Member]:
    """Keep data centres together, and engines near the layers that they hold already."""
    data_centres = list(dict.fromkeys(member.engine.data_centre for member in group))

    def rank(member: _Member) -> tuple[int, float]:
        held = member.engine.held
        middle = (held.first + held.end) / 2 if held else math.inf
        return data_centres.index(member.engine.data_centre), middle

    return sorted(group, key=rank)
