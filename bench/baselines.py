"""Runs a daemon under a baseline policy: ``python -m bench.baselines POLICY SETTINGS``."""

import asyncio
import random
import sys
from collections.abc import Sequence
from pathlib import Path

import ragwortpaddled.coordination._admission as admission
import ragwortpaddled.coordination._generation as generation
import ragwortpaddled.coordination._ledger as ledger
from ragwortpaddled.__main__ import serve
from ragwortpaddled.coordination._chain import ChainContext, Work
from ragwortpaddled.errors import NoChainError
from ragwortpaddled.protocol import Completion, Intent, Judgement, Verdict
from ragwortpaddled.state import Endpoint

UNBOUNDED = 1e9

_turn_by_stage: dict[int, int] = {}


def _by_stage(endpoints: Sequence[Endpoint], layers: int, now: float) -> list[list[Endpoint]]:
    stages: dict[int, list[Endpoint]] = {}
    for endpoint in sorted(endpoints, key=lambda item: item.name):
        if endpoint.usable(now) and endpoint.report.layers == layers:
            stages.setdefault(endpoint.report.first_layer, []).append(endpoint)
    if not stages or 0 not in stages:
        raise NoChainError("no stages")
    return [stages[first_layer] for first_layer in sorted(stages)]


def round_robin(
    endpoints: Sequence[Endpoint], layers: int, _: Work, context: ChainContext, __: random.Random
) -> list[Endpoint]:
    """Take the endpoints of each stage in turn."""
    chain = []
    for stage in _by_stage(endpoints, layers, context.now):
        first_layer = stage[0].report.first_layer
        turn = _turn_by_stage.get(first_layer, 0)
        _turn_by_stage[first_layer] = turn + 1
        chain.append(stage[turn % len(stage)])
    return chain


def least_outstanding(
    endpoints: Sequence[Endpoint], layers: int, _: Work, context: ChainContext, __: random.Random
) -> list[Endpoint]:
    """Take the endpoint of each stage with the fewest own sequences."""
    stages = _by_stage(endpoints, layers, context.now)
    return [min(stage, key=lambda endpoint: endpoint.sequences) for stage in stages]


def two_choices(
    endpoints: Sequence[Endpoint], layers: int, _: Work, context: ChainContext, rng: random.Random
) -> list[Endpoint]:
    """Take the less loaded of two random endpoints, by lagging reports."""
    chain = []
    for stage in _by_stage(endpoints, layers, context.now):
        pair = rng.sample(stage, min(2, len(stage)))
        chain.append(min(pair, key=lambda endpoint: endpoint.report.sequences))
    return chain


def first_come(*_: object) -> None:
    """Admit everybody at once, as a router without admission does."""
    admission.PoolAdmission.places = lambda self, pool: UNBOUNDED
    admission.LONG_SHARE = UNBOUNDED


async def _begin(self: ledger.Ledger, intent: Intent) -> Judgement:
    await self._platform.put(f"operations/{intent.key}", intent.attempt, 0, "operation-write")
    return Judgement(Verdict.GRANTED)


def _complete(self: ledger.Ledger, completion: Completion) -> None:
    async def write() -> None:
        key = f"operations/{completion.key}"
        stored = await self._platform.get(key, "operation-read")
        version = stored.version if stored else 0
        await self._platform.put(key, "done", version, "operation-write")

    task = asyncio.create_task(write())
    self._settling.add(task)
    task.add_done_callback(self._settling.discard)


def object_per_operation() -> None:
    """Keep one object for each operation: an intent's write and a completion's."""
    ledger.Ledger.begin = _begin
    ledger.Ledger.complete = _complete


CHOOSERS = {
    "round_robin": round_robin,
    "least_outstanding": least_outstanding,
    "two_choices": two_choices,
}


def main() -> int:
    """Patch the daemon and run it."""
    policy, settings = sys.argv[1], Path(sys.argv[2])
    if policy in CHOOSERS:
        generation.choose_chain = CHOOSERS[policy]
    if policy == "first_come":
        first_come()
    if policy == "object_per_operation":
        object_per_operation()
    return serve(settings)


if __name__ == "__main__":
    sys.exit(main())
