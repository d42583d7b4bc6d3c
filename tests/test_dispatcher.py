"""Waiting for places: in order of priority, and not at all where it would be in vain."""

import asyncio
import random
import time
from dataclasses import replace

import pytest
from ragwortpaddled.coordination import Dispatcher, PlaceRequest, Target
from ragwortpaddled.errors import RefusedError
from ragwortpaddled.protocol import EndpointEntry, RelayPool
from ragwortpaddled.state import EndpointLoads, LinkLoads, PathDemand

POOL = RelayPool("desk", 100, None)
SLOTS = 2


class OnePool:
    """A fleet with one endpoint of two places."""

    def __init__(self) -> None:
        self.loads = EndpointLoads()
        self.doubtful_ids: set[str] = set()
        self.links = LinkLoads()
        entry = EndpointEntry("desk-0", "desk", "10.0.0.1:80", "a", SLOTS, leaving=False)
        self.entry_by_id = {entry.id: entry}

    def on_change(self, listener) -> None:
        return

    def is_doubtful(self, entry: EndpointEntry) -> bool:
        return entry.id in self.doubtful_ids

    def in_pool(self, pool: str) -> list[EndpointEntry]:
        return list(self.entry_by_id.values())


def work(priority: int = 1, patience: float = 1.0) -> PlaceRequest:
    return PlaceRequest(
        POOL, PathDemand(0, 0), priority, time.monotonic() + patience, time.monotonic() + 20
    )


@pytest.fixture
def dispatcher() -> Dispatcher:
    return Dispatcher(OnePool(), "a", random.Random(1))


async def fill(dispatcher: Dispatcher) -> list[Target]:
    return [await dispatcher.take(work()) for _ in range(SLOTS)]


class TestWaiting:
    async def test_urgent_work_goes_first(self, dispatcher: Dispatcher) -> None:
        held = await fill(dispatcher)
        order: list[int] = []

        async def wait(priority: int) -> None:
            await dispatcher.take(work(priority))
            order.append(priority)

        waiting = [asyncio.create_task(wait(priority)) for priority in (5, 1)]
        await asyncio.sleep(0)
        for target in held:
            dispatcher.release(target)
            await asyncio.sleep(0.01)
        await asyncio.gather(*waiting)
        assert order == [1, 5]

    async def test_place_of_a_caller_that_left_goes_on(self, dispatcher: Dispatcher) -> None:
        held = await fill(dispatcher)
        waiting = asyncio.create_task(dispatcher.take(work()))
        await asyncio.sleep(0)
        dispatcher.release(held[0])
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert (await dispatcher.take(work(patience=0.1))).endpoint.id == "desk-0"


class TestRefusal:
    async def test_after_the_wait_with_a_time_to_return(self, dispatcher: Dispatcher) -> None:
        await fill(dispatcher)
        with pytest.raises(RefusedError) as refused:
            await dispatcher.take(work(patience=0.05))
        assert refused.value.status == 503
        assert 2.0 <= refused.value.retry_after_seconds <= 20 / 3

    async def test_at_once_behind_a_long_queue(self, dispatcher: Dispatcher) -> None:
        """A crest of 20 requests for two places that turn over once a second."""
        await fill(dispatcher)
        waiting = []
        refused = 0
        for _ in range(20):
            task = asyncio.create_task(dispatcher.take(work(patience=1.5)))
            await asyncio.sleep(0)
            if task.done():
                refused += isinstance(task.exception(), RefusedError)
            else:
                waiting.append(task)
        assert len(waiting) <= 4
        assert refused == 20 - len(waiting)
        for task in waiting:
            task.cancel()


class TestDoubtfulEndpoints:
    """An endpoint's removal that may only be a lapse in an outage of the store."""

    async def test_another_is_preferred(self) -> None:
        fleet = OnePool()
        spare = replace(fleet.entry_by_id["desk-0"], id="desk-1")
        fleet.entry_by_id[spare.id] = spare
        fleet.doubtful_ids.add("desk-0")
        dispatcher = Dispatcher(fleet, "a", random.Random(1))
        targets = [await dispatcher.take(work()) for _ in range(SLOTS)]
        assert {target.endpoint.id for target in targets} == {"desk-1"}

    async def test_the_only_one_is_used(self) -> None:
        fleet = OnePool()
        fleet.doubtful_ids.add("desk-0")
        target = await Dispatcher(fleet, "a", random.Random(1)).take(work())
        assert target.endpoint.id == "desk-0"
