"""Queueing for capacity by priority, and refusal where no capacity is expected in time."""

import asyncio
import random
import time
from dataclasses import replace

import pytest
from ragwortpaddled.coordination import Dispatcher, DispatchRequest, Target
from ragwortpaddled.errors import RefusedError
from ragwortpaddled.protocol import EndpointEntry, RelayPool
from ragwortpaddled.state import EndpointLoads, LinkLoads, RequestLimits, RequestSize
from test_layer_paths import CHAINS, DEMAND
from test_placement import MODEL

POOL = RelayPool("desk", 100, None)
MODEL_POOL = RelayPool("model", 100, MODEL)
SLOTS = 2


class OneEndpointDirectory:
    """A directory with one endpoint of two slots."""

    def __init__(self) -> None:
        self.loads = EndpointLoads()
        self.request_limits = RequestLimits(random.Random(1))
        self.possibly_left_ids: set[str] = set()
        self.links = LinkLoads()
        entry = EndpointEntry("desk-0", "desk", "10.0.0.1:80", "a", SLOTS, leaving=False)
        self.entry_by_id = {entry.id: entry}

    def add_change_listener(self, listener) -> None:
        return

    def may_have_left(self, entry: EndpointEntry) -> bool:
        return entry.id in self.possibly_left_ids

    def endpoints_in_pool(self, pool: str) -> list[EndpointEntry]:
        return list(self.entry_by_id.values())


def dispatch_request(
    priority: int = 1, max_queue_seconds: float = 1.0, **fields: object
) -> DispatchRequest:
    return DispatchRequest(
        POOL,
        RequestSize(0, 0),
        priority,
        time.monotonic() + max_queue_seconds,
        time.monotonic() + 20,
        **fields,
    )


def begun_request(hold_seconds: float = 1.0, **fields: object) -> DispatchRequest:
    holds_queue_until = time.monotonic() + hold_seconds
    return dispatch_request(9, begun=True, holds_queue_until=holds_queue_until, **fields)


class ModelDirectory(OneEndpointDirectory):
    """A directory with the engines of two chains."""

    def __init__(self) -> None:
        super().__init__()
        self.entry_by_id = {entry.id: entry for entry in CHAINS}


@pytest.fixture
def dispatcher() -> Dispatcher:
    return Dispatcher(OneEndpointDirectory(), "a", random.Random(1))


async def fill(dispatcher: Dispatcher) -> list[Target]:
    return [await dispatcher.acquire(dispatch_request()) for _ in range(SLOTS)]


class TestQueueing:
    async def test_more_urgent_request_is_served_first(self, dispatcher: Dispatcher) -> None:
        held = await fill(dispatcher)
        order: list[int] = []

        async def wait(priority: int) -> None:
            await dispatcher.acquire(dispatch_request(priority))
            order.append(priority)

        waiting = [asyncio.create_task(wait(priority)) for priority in (5, 1)]
        await asyncio.sleep(0)
        for target in held:
            dispatcher.release(target)
            await asyncio.sleep(0.01)
        await asyncio.gather(*waiting)
        assert order == [1, 5]

    async def test_slot_granted_to_a_cancelled_request_is_released(
        self, dispatcher: Dispatcher
    ) -> None:
        held = await fill(dispatcher)
        waiting = asyncio.create_task(dispatcher.acquire(dispatch_request()))
        await asyncio.sleep(0)
        dispatcher.release(held[0])
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert (
            await dispatcher.acquire(dispatch_request(max_queue_seconds=0.1))
        ).endpoint.id == "desk-0"

    async def test_slot_granted_in_the_moment_of_the_timeout_is_used(
        self, dispatcher: Dispatcher
    ) -> None:
        """The grant and the timeout fall into one turn of the event loop, which was held up."""
        held = await fill(dispatcher)
        waiting = asyncio.create_task(dispatcher.acquire(dispatch_request(max_queue_seconds=0.05)))
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        loop.call_later(0.04, dispatcher.release, held[0])
        loop.call_soon(time.sleep, 0.1)
        target = await waiting
        dispatcher.release(target)
        assert dispatcher._relay_directory.loads.get("desk-0").own_requests == SLOTS - 1


class TestRequestsThatHaveBegun:
    """They are retried attempts: losing to new requests would end a response within it."""

    async def test_are_served_before_more_urgent_new_requests(self, dispatcher: Dispatcher) -> None:
        held = await fill(dispatcher)
        new = asyncio.create_task(dispatcher.acquire(dispatch_request(0)))
        await asyncio.sleep(0)
        begun = asyncio.create_task(dispatcher.acquire(begun_request()))
        await asyncio.sleep(0)
        dispatcher.release(held[0])
        await asyncio.wait([new, begun], return_when=asyncio.FIRST_COMPLETED)
        assert begun.done() and not new.done()
        dispatcher.release(held[1])
        await new

    async def test_are_queued_whatever_the_expected_wait(self, dispatcher: Dispatcher) -> None:
        """One queued request and no recent grant make the expected wait 2 s."""
        held = await fill(dispatcher)
        dispatcher._grant_times_by_pool[POOL.name].clear()
        waiting = [
            asyncio.create_task(dispatcher.acquire(begun_request(max_queue_seconds=0.5)))
            for _ in range(SLOTS)
        ]
        await asyncio.sleep(0)
        for target in held:
            dispatcher.release(target)
        await asyncio.gather(*waiting)

    async def test_do_not_hold_up_new_requests_where_they_exclude_the_endpoint_with_room(
        self, dispatcher: Dispatcher
    ) -> None:
        excluding = begun_request(excluded_ids=frozenset({"desk-0"}))
        waiting = asyncio.create_task(dispatcher.acquire(excluding))
        await asyncio.sleep(0)
        target = await dispatcher.acquire(dispatch_request(max_queue_seconds=0.0))
        assert target.endpoint.id == "desk-0"
        with pytest.raises(RefusedError):
            await waiting

    async def test_do_not_hold_up_the_queue_where_they_exclude_the_endpoint_that_gets_room(
        self, dispatcher: Dispatcher
    ) -> None:
        held = await fill(dispatcher)
        excluding = begun_request(excluded_ids=frozenset({"desk-0"}))
        waiting = asyncio.create_task(dispatcher.acquire(excluding))
        await asyncio.sleep(0)
        queued = asyncio.create_task(dispatcher.acquire(dispatch_request(max_queue_seconds=3.0)))
        await asyncio.sleep(0)
        dispatcher.release(held[0])
        assert (await queued).endpoint.id == "desk-0"
        with pytest.raises(RefusedError):
            await waiting

    async def test_hold_up_new_requests_for_a_limited_time(self, dispatcher: Dispatcher) -> None:
        held = await fill(dispatcher)
        waiting = asyncio.create_task(dispatcher.acquire(begun_request(0.1)))
        await asyncio.sleep(0)
        assert dispatcher._waiters_ahead(dispatch_request())
        await asyncio.sleep(0.15)
        dispatcher.dispatch_waiting()
        assert not dispatcher._waiters_ahead(dispatch_request())
        dispatcher.release(held[0])
        await waiting

    async def test_hold_up_new_requests_where_unreported_requests_leave_no_room(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """On a fleet of many daemons, new requests took each path that seemed to have room."""
        dispatcher = Dispatcher(ModelDirectory(), "a", random.Random(1))
        full = {entry.id: 1e6 for entry in CHAINS}
        monkeypatch.setattr(dispatcher._unreported_loads, "sample", lambda *_: full)
        for excluded_ids in (frozenset(), frozenset({"x2"})):
            begun = replace(
                begun_request(excluded_ids=excluded_ids), pool=MODEL_POOL, demand=DEMAND
            )
            waiting = asyncio.create_task(dispatcher.acquire(begun))
            await asyncio.sleep(0)
            assert dispatcher._waiters_ahead(replace(begun, begun=False))
            waiting.cancel()
            await asyncio.wait([waiting])

    async def test_are_all_served_though_some_are_tried_at_a_time(
        self, dispatcher: Dispatcher
    ) -> None:
        held = await fill(dispatcher)
        excluding = begun_request(0.0, excluded_ids=frozenset({"desk-0"}))
        blocked = [asyncio.create_task(dispatcher.acquire(excluding)) for _ in range(5)]
        await asyncio.sleep(0)
        waiting = asyncio.create_task(dispatcher.acquire(begun_request(0.0)))
        await asyncio.sleep(0)
        dispatcher.release(held[0])
        for _ in blocked:
            dispatcher.dispatch_waiting()
        assert (await waiting).endpoint.id == "desk-0"
        await asyncio.gather(*blocked, return_exceptions=True)

    async def test_are_served_though_more_urgent_ones_exclude_the_endpoint_that_gets_room(
        self, dispatcher: Dispatcher
    ) -> None:
        """Only the more urgent ones were tried, and a new request got the slot."""
        held = await fill(dispatcher)
        excluding = replace(begun_request(excluded_ids=frozenset({"desk-0"})), priority=0)
        blocked = [asyncio.create_task(dispatcher.acquire(excluding)) for _ in range(5)]
        await asyncio.sleep(0)
        waiting = asyncio.create_task(dispatcher.acquire(begun_request()))
        await asyncio.sleep(0)
        new = asyncio.create_task(dispatcher.acquire(dispatch_request(0, 15.0)))
        await asyncio.sleep(0)
        dispatcher.release(held[0])
        for _ in blocked:
            dispatcher.dispatch_waiting()
        assert (await waiting).endpoint.id == "desk-0"
        assert not new.done()
        dispatcher.release(held[1])
        await new
        await asyncio.gather(*blocked, return_exceptions=True)

    async def test_use_an_excluded_endpoint_only_as_a_last_resort(
        self, dispatcher: Dispatcher
    ) -> None:
        excluded = frozenset({"desk-0"})
        with pytest.raises(RefusedError):
            await dispatcher.acquire(begun_request(max_queue_seconds=0.0, excluded_ids=excluded))
        target = await dispatcher.acquire(
            begun_request(excluded_ids=excluded, last_resort_excluded_ids=frozenset())
        )
        assert target.endpoint.id == "desk-0"
        with pytest.raises(RefusedError):
            await dispatcher.acquire(
                begun_request(
                    max_queue_seconds=0.0,
                    excluded_ids=excluded,
                    last_resort_excluded_ids=excluded,
                )
            )

    @pytest.mark.parametrize("peers", [["p", "q"], []])
    async def test_do_not_use_an_engine_that_counts_as_lost_as_a_last_resort(
        self, peers: list[str]
    ) -> None:
        """It took the last run that the route allows, while another engine loaded the layers."""
        directory = ModelDirectory()
        loads = directory.loads
        for entry in CHAINS:
            loads.record_unreachable(entry.id)
        if not peers:
            loads.record_lost("x2")
        for peer in peers:
            loads.update_peer(peer, {}, ["x2"])
        dispatcher = Dispatcher(directory, "a", random.Random(1))
        begun = begun_request(max_queue_seconds=0.0, last_resort_excluded_ids=frozenset())
        begun = replace(begun, pool=MODEL_POOL, demand=DEMAND)
        target = await dispatcher.acquire(begun)
        assert "x2" not in target.endpoint_ids
        for entry_id in [name for name in directory.entry_by_id if name.startswith("y")]:
            del directory.entry_by_id[entry_id]
        with pytest.raises(RefusedError):
            await dispatcher.acquire(begun)


class TestRefusal:
    async def test_refused_after_the_wait_with_a_retry_time(self, dispatcher: Dispatcher) -> None:
        await fill(dispatcher)
        with pytest.raises(RefusedError) as refused:
            await dispatcher.acquire(dispatch_request(max_queue_seconds=0.05))
        assert refused.value.status == 503
        assert 2.0 <= refused.value.retry_after_seconds <= 20 / 3

    async def test_refused_immediately_behind_a_long_queue(self, dispatcher: Dispatcher) -> None:
        """A burst of 20 requests for two slots, at a recent rate of one grant per second."""
        await fill(dispatcher)
        waiting = []
        refused = 0
        for _ in range(20):
            task = asyncio.create_task(dispatcher.acquire(dispatch_request(max_queue_seconds=1.5)))
            await asyncio.sleep(0)
            if task.done():
                refused += isinstance(task.exception(), RefusedError)
            else:
                waiting.append(task)
        assert len(waiting) <= 4
        assert refused == 20 - len(waiting)
        for task in waiting:
            task.cancel()


class TestEndpointsWithDeferredRemoval:
    """An endpoint was removed, but its entry may only have expired in an outage of the store."""

    async def test_other_endpoint_is_preferred(self) -> None:
        directory = OneEndpointDirectory()
        spare = replace(directory.entry_by_id["desk-0"], id="desk-1")
        directory.entry_by_id[spare.id] = spare
        directory.possibly_left_ids.add("desk-0")
        dispatcher = Dispatcher(directory, "a", random.Random(1))
        targets = [await dispatcher.acquire(dispatch_request()) for _ in range(SLOTS)]
        assert {target.endpoint.id for target in targets} == {"desk-1"}

    async def test_endpoint_is_used_if_it_is_the_only_one(self) -> None:
        directory = OneEndpointDirectory()
        directory.possibly_left_ids.add("desk-0")
        target = await Dispatcher(directory, "a", random.Random(1)).acquire(dispatch_request())
        assert target.endpoint.id == "desk-0"


class TestEndpointSharedByManyDaemons:
    """Ninety daemons share an endpoint of two slots; each knows the requests of a tenth of them.

    When the mean of the known daemons, and one request more, was assumed for each of the others, an
    idle endpoint seemed full: requests waited for half of their time and were refused.
    """

    DAEMONS = 90
    REPORTING_PEERS = 10

    def dispatcher_with_reports(self, busy_peers: int) -> Dispatcher:
        """Return a dispatcher that knows ten peers, some of which have a request running."""
        directory = OneEndpointDirectory()
        directory.loads.daemon_count = self.DAEMONS
        for number in range(self.REPORTING_PEERS):
            busy = number < busy_peers
            directory.loads.update_peer(
                f"entry-{number}", {"desk-0": 1} if busy else {}, [], {"desk": int(busy)}
            )
        return Dispatcher(directory, "a", random.Random(1))

    @pytest.mark.parametrize("busy_peers", [0, 1])
    async def test_request_of_one_peer_does_not_fill_it(self, busy_peers: int) -> None:
        target = await self.dispatcher_with_reports(busy_peers).acquire(dispatch_request())
        assert target.waited_seconds == 0

    async def test_daemon_without_reports_uses_it(self) -> None:
        directory = OneEndpointDirectory()
        directory.loads.daemon_count = self.DAEMONS
        dispatcher = Dispatcher(directory, "a", random.Random(1))
        assert (await dispatcher.acquire(dispatch_request())).waited_seconds == 0

    async def test_endpoint_that_most_peers_use_is_full(self) -> None:
        dispatcher = self.dispatcher_with_reports(busy_peers=8)
        with pytest.raises(RefusedError):
            await dispatcher.acquire(dispatch_request(max_queue_seconds=0.05))

    async def test_endpoint_that_reports_its_slots_as_taken_is_full(self) -> None:
        dispatcher = self.dispatcher_with_reports(busy_peers=0)
        dispatcher._relay_directory.loads.record_reported_load("desk-0", SLOTS * 2)
        with pytest.raises(RefusedError):
            await dispatcher.acquire(dispatch_request(max_queue_seconds=0.05))
