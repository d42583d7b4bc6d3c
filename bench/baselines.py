"""Runs a daemon with a baseline policy: ``python -m bench.baselines POLICY SETTINGS``."""

import asyncio
import random
import sys
from collections.abc import Sequence
from pathlib import Path

import ragwortpaddled.coordination._admission as admission
import ragwortpaddled.coordination._generation as generation
import ragwortpaddled.coordination._ledger as ledger
from ragwortpaddled.__main__ import serve
from ragwortpaddled.coordination._chain import ChainContext, SequenceSize
from ragwortpaddled.errors import NoChainError
from ragwortpaddled.protocol import ChangeResult, ChangeStatus, Completion, Intent
from ragwortpaddled.state import Endpoint

UNBOUNDED = 1e9

_next_index_by_stage: dict[int, int] = {}


def _group_by_stage(endpoints: Sequence[Endpoint], layers: int, now: float) -> list[list[Endpoint]]:
    stages: dict[int, list[Endpoint]] = {}
    for endpoint in sorted(endpoints, key=lambda item: item.name):
        if endpoint.usable(now) and endpoint.report.layers == layers:
            stages.setdefault(endpoint.report.first_layer, []).append(endpoint)
    if not stages or 0 not in stages:
        raise NoChainError("no usable endpoint serves the first pipeline stage")
    return [stages[first_layer] for first_layer in sorted(stages)]


def round_robin(
    endpoints: Sequence[Endpoint],
    layers: int,
    _: SequenceSize,
    context: ChainContext,
    __: random.Random,
) -> list[Endpoint]:
    """Select the endpoints of each pipeline stage in rotation."""
    chain = []
    for stage in _group_by_stage(endpoints, layers, context.now):
        first_layer = stage[0].report.first_layer
        index = _next_index_by_stage.get(first_layer, 0)
        _next_index_by_stage[first_layer] = index + 1
        chain.append(stage[index % len(stage)])
    return chain


def least_outstanding(
    endpoints: Sequence[Endpoint],
    layers: int,
    _: SequenceSize,
    context: ChainContext,
    __: random.Random,
) -> list[Endpoint]:
    """Select the endpoint of each stage on which this daemon runs the fewest sequences."""
    stages = _group_by_stage(endpoints, layers, context.now)
    return [min(stage, key=lambda endpoint: endpoint.sequences) for stage in stages]


def two_choices(
    endpoints: Sequence[Endpoint],
    layers: int,
    _: SequenceSize,
    context: ChainContext,
    rng: random.Random,
) -> list[Endpoint]:
    """Select the less loaded of two random endpoints, by load reports that may be out of date."""
    chain = []
    for stage in _group_by_stage(endpoints, layers, context.now):
        candidates = rng.sample(stage, min(2, len(stage)))
        chain.append(min(candidates, key=lambda endpoint: endpoint.report.sequences))
    return chain


def first_come(*_: object) -> None:
    """Disable admission control, so that every request is admitted at once."""
    admission.PoolAdmissionController.concurrency_limit = lambda self, pool: UNBOUNDED
    admission.MAX_LONG_FRACTION = UNBOUNDED


async def _write_intent(self: ledger.Ledger, intent: Intent) -> ChangeResult:
    await self._platform.put(f"operations/{intent.key}", intent.attempt, 0, "operation-write")
    return ChangeResult(ChangeStatus.GRANTED)


def _write_completion(self: ledger.Ledger, completion: Completion) -> None:
    async def write_done() -> None:
        key = f"operations/{completion.key}"
        stored = await self._platform.get(key, "operation-read")
        version = stored.version if stored else 0
        await self._platform.put(key, "done", version, "operation-write")

    task = asyncio.create_task(write_done())
    self._completion_tasks.add(task)
    task.add_done_callback(self._completion_tasks.discard)


def object_per_operation() -> None:
    """Store each operation in its own object, written once at its start and once at its end."""
    ledger.Ledger.record_intent = _write_intent
    ledger.Ledger.record_completion = _write_completion


CHAIN_SELECTOR_BY_POLICY = {
    "round_robin": round_robin,
    "least_outstanding": least_outstanding,
    "two_choices": two_choices,
}


def main() -> int:
    """Run a daemon with the policy given on the command line."""
    policy, settings = sys.argv[1], Path(sys.argv[2])
    if policy in CHAIN_SELECTOR_BY_POLICY:
        generation.choose_chain = CHAIN_SELECTOR_BY_POLICY[policy]
    if policy == "first_come":
        first_come()
    if policy == "object_per_operation":
        object_per_operation()
    return serve(settings)


if __name__ == "__main__":
    sys.exit(main())
