"""Relay daemons that are cut off from endpoints, while callers, peers and the store reach them."""

import asyncio
import itertools
import random
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass

import pytest
from endpoint_cut import Way, patch_connect
from ragwortpaddle_standins.relay_platform import (
    EVENT_STREAM,
    Engine,
    Service,
    attempt_id_of,
    caller_headers,
    event,
)
from ragwortpaddled.errors import NotSentError, ReplyLostError
from ragwortpaddled.relay import RelayDaemon
from ragwortpaddled.transport import Http1Connection, ResponseHead
from relay_fleet import RelayFleet, RelayTestBed

CONTACT_SECONDS = 3.0  # the platform's limit for acting on a cut, and on its end
OBSERVED_SECONDS = 2.0  # how long requests are judged after it
REQUEST_INTERVAL_SECONDS = 0.12
REQUEST_DEADLINE_MS = 3000
CALLER_TIMEOUT_SECONDS = 5.0  # of a caller that gets no response at all
MAX_ATTEMPTS = 2  # of every route of the test bed
DEADLINE_SLACK_MS = 500  # the platform's limit for time passed on beyond what is left
SILENCE_SECONDS = 1.2  # a sound endpoint may fall silent for so long
LATE_REFUSAL_SECONDS = 0.6  # after a time in the queue

PATH_BY_KIND = {
    "stream": b"/ask/",
    "stream once": b"/once/",
    "safe": b"/look/",
    "unsafe": b"/book/",
}
METHOD_BY_KIND = {"stream": b"POST", "stream once": b"POST", "safe": b"GET", "unsafe": b"POST"}
ALL_WAYS = pytest.mark.parametrize("way", list(Way))


class FirstNames(random.Random):
    """A source of random numbers that takes the first peers by name."""

    def sample(self, population, k, **_: object):
        return list(population)[:k]

    def shuffle(self, x) -> None:
        return


@dataclass(slots=True)
class Result:
    """What a caller got for one request; ``status`` is 0 for a lost connection or no response."""

    attempt_id: str
    kind: str
    kept: bool
    sent_at: float
    status: int = 0
    complete: bool = False
    retry_after: float | None = None

    @property
    def served(self) -> bool:
        return self.status == 200 and self.complete


class StrandedFleet(RelayFleet):
    """Three daemons whose callers send all kinds of requests, on kept and on new connections."""

    def __init__(self, testbed: RelayTestBed) -> None:
        super().__init__(testbed)
        self.results_by_daemon: defaultdict[RelayDaemon, list[Result]] = defaultdict(list)
        self._numbers: Iterator[int] = itertools.count()
        self._callers: list[asyncio.Task[None]] = []
        self._calling = False

    async def stop(self) -> None:
        for caller in self._callers:
            caller.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)
        for daemon in self.daemons:
            self.cut_of(daemon).heal()
        await super().stop()

    @property
    def lease_holder(self) -> RelayDaemon:
        """Return the daemon that places layers."""
        return next(d for d in self.daemons if d._layer_placer.holds_lease)

    @property
    def others(self) -> list[RelayDaemon]:
        """Return the daemons that do not place layers."""
        return [d for d in self.daemons if d is not self.lease_holder]

    @property
    def results(self) -> list[Result]:
        return [result for results in self.results_by_daemon.values() for result in results]

    def start_callers(self, *kinds: str, daemons: list[RelayDaemon] | None = None) -> None:
        """Start callers of each kind at each daemon: one on a kept connection, one on new ones."""
        self._calling = True
        for daemon in daemons or self.daemons:
            for kind in kinds or PATH_BY_KIND:
                for kept in (False, True):
                    self._callers.append(asyncio.create_task(self._call(daemon, kind, kept=kept)))

    async def stop_callers(self) -> None:
        """Let the callers finish the requests that they have sent."""
        self._calling = False
        await asyncio.gather(*self._callers)
        self._callers.clear()

    async def observe_from(self, moment: float) -> None:
        """Let the callers send requests for some time after a moment, and finish these."""
        await sleep_until(moment + OBSERVED_SECONDS)
        await self.stop_callers()

    async def _call(self, daemon: RelayDaemon, kind: str, *, kept: bool) -> None:
        connection: Http1Connection | None = None
        while self._calling:
            connection, _ = await self._ask(daemon, kind, connection, kept=kept)
            if connection is not None and not kept:
                connection.close()
                connection = None
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def ask(
        self, daemon: RelayDaemon, kind: str, deadline_ms: int = REQUEST_DEADLINE_MS
    ) -> Result:
        """Send a request on a new connection; return what the caller got."""
        connection, result = await self._ask(daemon, kind, None, deadline_ms=deadline_ms)
        if connection is not None:
            connection.close()
        return result

    async def _ask(
        self,
        daemon: RelayDaemon,
        kind: str,
        connection: Http1Connection | None,
        *,
        kept: bool = False,
        deadline_ms: int = REQUEST_DEADLINE_MS,
    ) -> tuple[Http1Connection | None, Result]:
        """Send a request; return the connection, if it can be used again, and the result."""
        attempt = f"{kind}-{next(self._numbers)}".replace(" ", "-")
        result = Result(attempt, kind, kept, time.monotonic())
        self.results_by_daemon[daemon].append(result)
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                if connection is None or not connection.reusable:
                    connection = await self.testbed.pool.acquire(daemon.address, fresh=True)
                headers = caller_headers(attempt.encode(), deadline_ms=b"%d" % deadline_ms)
                target = PATH_BY_KIND[kind] + attempt.encode()
                await connection.send(METHOD_BY_KIND[kind], target, headers, b"")
                head, body = await read_response(connection)
        except (ReplyLostError, NotSentError, TimeoutError):
            if connection is not None:
                connection.close()
            return None, result
        result.status = head.status
        result.complete = body == EVENT_STREAM if "stream" in kind else bool(body)
        if (retry_after := head.header(b"retry-after")) is not None:
            result.retry_after = float(retry_after)
        return connection if connection.reusable else None, result

    def unserved_since(self, daemon: RelayDaemon, since: float) -> Counter[str]:
        """Count the requests that were sent since a time and not served, by what they have."""
        results = [r for r in self.results_by_daemon[daemon] if r.sent_at >= since]
        assert results, "every caller was waiting for a response"
        return Counter(
            f"{r.kind}, {'kept' if r.kept else 'new'} connection: {r.status}"
            for r in results
            if not r.served
        )

    def check_runs(self, held_up_until: float = 0.0) -> None:
        """Check how often requests ran, and the time that endpoints were given for them.

        A request that a silent link delivered only when it recovered has the time left when sent.
        """
        endpoints = [*self.testbed.engines, *self.testbed.desks]
        result_by_id = {result.attempt_id: result for result in self.results}
        runs: Counter[str] = Counter()
        for endpoint in endpoints:
            for request, at in zip(endpoint.received_requests, endpoint.received_at, strict=True):
                result = result_by_id.get(attempt_id_of(request))
                if result is None:
                    continue
                runs[result.attempt_id] += 1
                left_ms = REQUEST_DEADLINE_MS - (at - result.sent_at) * 1000
                given_ms = int(request.header(b"x-deadline-ms") or b"0")
                held_up = result.sent_at < held_up_until <= at
                assert given_ms > 0, result
                assert held_up or given_ms <= left_ms + DEADLINE_SLACK_MS, result
        for attempt_id, count in runs.items():
            result = result_by_id[attempt_id]
            once = result.kind in ("unsafe", "stream once")
            assert count <= (1 if once else MAX_ATTEMPTS), result
            assert not (once and result.status in (429, 503)), result

    def cut(self, way: Way, *daemons: RelayDaemon) -> float:
        """Cut daemons off from all endpoints; return the time at which that began to count."""
        for daemon in daemons:
            self.cut_of(daemon).start(way)
        return time.monotonic() + CONTACT_SECONDS

    def beliefs(self) -> dict[str, object]:
        """Return what a cut that concerns no endpoint must leave as it is."""
        testbed = self.testbed
        return {
            "orders": {e.id: e.accepted_order_count for e in testbed.engines},
            "layers": {e.id: e.layers for e in testbed.engines},
            "plan": testbed.store.object_by_key.get("placements/model"),
            "quarantines": [k for k in testbed.store.object_by_key if k.startswith("quarantines/")],
        }

    def suspected_at(self, daemon: RelayDaemon) -> set[str]:
        """Return the ids of the endpoints that a daemon suspects or counts as lost."""
        now = time.monotonic()
        return {
            endpoint_id
            for endpoint_id, load in daemon._relay_directory.loads.load_by_id.items()
            if load.suspect(now) or load.confirmed_lost(now)
        }

    def crash_records(self) -> set[str]:
        """Return the crashes that any daemon has on record."""
        return {key for d in self.daemons for key in d._crash_tracker.records.record_by_key}


async def read_response(connection: Http1Connection) -> tuple[ResponseHead, bytes]:
    """Read the response to the request that was sent last."""
    head = await connection.read_head()
    return head, await connection.read_body()


async def sleep_until(moment: float) -> None:
    """Sleep until a time on the monotonic clock."""
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


@pytest.fixture
async def fleet(tmp_path, monkeypatch) -> AsyncIterator[StrandedFleet]:
    patch_connect(monkeypatch)
    async with StrandedFleet(RelayTestBed(tmp_path)) as fleet:
        await fleet.testbed.wait(
            lambda: any(d._layer_placer.holds_lease for d in fleet.daemons), "lease"
        )
        yield fleet


@ALL_WAYS
class TestOneOfThreeDaemons:
    async def test_its_callers_are_served(self, fleet: StrandedFleet, way: Way) -> None:
        """A daemon that was cut off from all endpoints answered 503 after over a second."""
        stranded, *_ = fleet.others
        fleet.start_callers()
        await asyncio.sleep(0.5)
        judged_from = fleet.cut(way, stranded)
        await fleet.observe_from(judged_from)
        for daemon in fleet.daemons:
            assert not fleet.unserved_since(daemon, judged_from)
        fleet.check_runs()

    async def test_a_daemon_that_places_layers_is_served_too(
        self, fleet: StrandedFleet, way: Way
    ) -> None:
        """The lease holder sent its orders over its own paths, and they were lost."""
        fleet.cut(way, fleet.lease_holder)
        await fleet.testbed.replace_engine(0)

    async def test_a_stream_that_runs_when_the_cut_begins_is_completed(
        self, fleet: StrandedFleet, way: Way
    ) -> None:
        """A stalled stream was resumed over the paths that were cut, and reset."""
        stranded, *_ = fleet.others
        for engine in fleet.testbed.engines:
            engine.event_interval_seconds = 0.2
        connection = await fleet.testbed.send(b"POST", b"/ask/1", b"a1", stranded)
        await connection.read_head()
        received = await connection.read_body_part()
        assert received == event(1)
        fleet.cut(way, stranded)
        body = received + await connection.read_body()
        assert body == EVENT_STREAM
        runs = sum(engine.count_executions("a1") for engine in fleet.testbed.engines)
        assert runs <= MAX_ATTEMPTS

    async def test_no_crash_is_recorded(self, fleet: StrandedFleet, way: Way) -> None:
        """The check for a crash went over the paths that were cut, so that it always found one."""
        stranded, *_ = fleet.others
        for engine in fleet.testbed.engines:
            engine.event_interval_seconds = 0.3
        fleet.start_callers("stream")
        for _ in range(3):
            await asyncio.sleep(0.7)
            fleet.cut(way, stranded)
            await asyncio.sleep(0.7)
            fleet.cut_of(stranded).heal()
        fleet.cut(way, stranded)
        await asyncio.sleep(CONTACT_SECONDS)
        assert not fleet.crash_records()
        assert not [d.active_quarantines for d in fleet.daemons if d.active_quarantines]

    async def test_retry_budget_is_kept_for_requests_that_reached_an_endpoint(
        self, fleet: StrandedFleet, way: Way
    ) -> None:
        """Connections that could not be opened used up the retries."""
        stranded, *_ = fleet.others
        budget = stranded._peers._retry_budget
        fleet.cut(way, stranded)
        before = budget.remaining("desk")
        for _ in range(5):
            await fleet.ask(stranded, "unsafe", 1000)
        assert budget.remaining("desk") >= before

    async def test_requests_go_directly_again_after_the_cut(
        self, fleet: StrandedFleet, way: Way
    ) -> None:
        """A caller's request was the probe that found the paths whole again."""
        stranded, *_ = fleet.others
        cut = fleet.cut_of(stranded)
        judged_from = fleet.cut(way, stranded)
        fleet.start_callers(daemons=[stranded])
        await sleep_until(judged_from + 0.5)
        cut.heal()
        healed_at = time.monotonic()
        await sleep_until(healed_at + CONTACT_SECONDS)
        direct_from = time.monotonic()
        await fleet.observe_from(direct_from)
        assert not fleet.unserved_since(stranded, judged_from)
        for result in fleet.results_by_daemon[stranded]:
            if result.sent_at >= direct_from:
                assert result.attempt_id in cut.sent_attempt_ids, result
        fleet.check_runs()


class TestTwoOfThreeDaemons:
    @ALL_WAYS
    async def test_the_third_goes_on_with_all_engines(self, fleet: StrandedFleet, way: Way) -> None:
        """Two daemons that were cut off made a quorum, and the third counted engines as lost."""
        third = fleet.lease_holder
        fleet.start_callers()
        await asyncio.sleep(0.5)
        before = fleet.beliefs()
        begin = time.monotonic()
        judged_from = fleet.cut(way, *fleet.others)
        while time.monotonic() < judged_from + OBSERVED_SECONDS:
            assert not fleet.suspected_at(third)
            await asyncio.sleep(0.02)
        assert fleet.beliefs() == before
        await fleet.stop_callers()
        assert not fleet.unserved_since(third, begin)
        fleet.check_runs()

    @ALL_WAYS
    async def test_their_callers_are_served(self, fleet: StrandedFleet, way: Way) -> None:
        """Most of the daemons were cut off, and their callers were refused."""
        fleet.start_callers()
        await asyncio.sleep(0.5)
        judged_from = fleet.cut(way, *fleet.others)
        await fleet.observe_from(judged_from)
        for daemon in fleet.daemons:
            assert not fleet.unserved_since(daemon, judged_from)
        fleet.check_runs()

    async def test_peer_that_does_not_know_its_own_loss_does_not_hold_a_request_up(
        self, fleet: StrandedFleet
    ) -> None:
        """It sent the request over a connection that had fallen silent, and so never answered."""
        cut_daemon, unaware_peer, _ = fleet.daemons
        peers = cut_daemon._forwarding_peers
        await fleet.testbed.wait(lambda: len(peers.candidates()) == 2, "peers that forward")
        await asyncio.gather(*(fleet.ask(unaware_peer, "stream") for _ in range(16)))
        fleet.cut(Way.HANG, cut_daemon, unaware_peer)
        cut_daemon._reach_monitor._reach.cut = True
        peers._random = FirstNames()
        unaware_cut = fleet.cut_of(unaware_peer)
        unopened_before = unaware_cut.unopened_count
        assert (await fleet.ask(cut_daemon, "stream")).served
        assert unaware_cut.unopened_count > unopened_before
        assert not any(stream._unsent for stream in unaware_cut._streams)


class TestAllDaemons:
    @ALL_WAYS
    async def test_requests_are_refused_at_once(self, fleet: StrandedFleet, way: Way) -> None:
        """A request waited for connections that could not be opened until its time was over."""
        fleet.start_callers()
        judged_from = fleet.cut(way, *fleet.daemons)
        await sleep_until(judged_from)
        await fleet.stop_callers()
        short_deadline_ms = 300  # a request that waits for a connection ends with 504
        asked = [
            fleet.ask(daemon, kind, short_deadline_ms)
            for daemon in fleet.daemons
            for kind in PATH_BY_KIND
        ]
        results = await asyncio.gather(*asked)
        assert not [r for r in results if r.status != 503 or not r.retry_after]

    @ALL_WAYS
    async def test_nothing_is_concluded_about_engines(self, fleet: StrandedFleet, way: Way) -> None:
        """Layers were ordered at engines that nobody had lost but the daemons themselves."""
        fleet.start_callers()
        before = fleet.beliefs()
        cut_until = fleet.cut(way, *fleet.daemons)
        await sleep_until(cut_until)
        for daemon in fleet.daemons:
            fleet.cut_of(daemon).heal()
        healed_at = time.monotonic()
        await fleet.observe_from(healed_at + CONTACT_SECONDS)
        assert fleet.beliefs() == before
        assert not fleet.crash_records()
        for daemon in fleet.daemons:
            assert not fleet.unserved_since(daemon, healed_at + CONTACT_SECONDS)


class TestManyLostEndpoints:
    """Every daemon took its own links for lost, and requests were refused everywhere."""

    SOUND_COUNT = 2
    LOST_COUNT = 18
    SECONDS = 4.0

    @pytest.mark.parametrize("way", [Way.HANG, Way.REFUSE])
    async def test_the_links_are_not_taken_for_lost(self, tmp_path, monkeypatch, way: Way) -> None:
        patch_connect(monkeypatch)
        testbed = RelayTestBed(tmp_path)
        lost = [
            Service(testbed.store, f"lost-{number}", "desk", "dc-a")
            for number in range(self.LOST_COUNT)
        ]
        testbed.desks += lost
        async with StrandedFleet(testbed) as fleet:
            for daemon in fleet.daemons:
                fleet.cut_of(daemon).start(way, {service.address for service in lost})
            fleet.start_callers("safe")
            ends_at = time.monotonic() + self.SECONDS
            while time.monotonic() < ends_at:
                assert not [daemon for daemon in fleet.daemons if daemon._reach_monitor.cut]
                await asyncio.sleep(0.02)
            await fleet.stop_callers()


class TestSingleEndpoint:
    async def test_checks_of_one_that_stays_dead_end(self, fleet: StrandedFleet) -> None:
        """Daemons asked each other about it for ever, and connected to the others each time."""
        engine = fleet.testbed.engines[0]
        opened_at: list[float] = []
        for daemon in fleet.daemons:
            fleet.cut_of(daemon).start(Way.REFUSE, {engine.address})
            try_connect = daemon._reach_monitor._try_connect

            async def count_and_connect(address: str, try_connect=try_connect) -> object:
                opened_at.append(time.monotonic())
                return await try_connect(address)

            daemon._reach_monitor._try_connect = count_and_connect
        daemon = fleet.daemons[0]
        started_at = time.monotonic()
        daemon._reach_monitor.check_endpoint(daemon._relay_directory.entry_by_id[engine.id])
        await fleet.testbed.wait(
            lambda: any(
                d._relay_directory.loads.get(engine.id).confirmed_lost(time.monotonic())
                for d in fleet.daemons
            ),
            "loss",
        )
        await sleep_until(started_at + 2 * CONTACT_SECONDS)
        assert max(opened_at) < started_at + CONTACT_SECONDS

    async def test_engine_that_a_third_daemon_reaches_is_not_lost(
        self, fleet: StrandedFleet
    ) -> None:
        """The links between two data centres were lost, and two daemons of one made a quorum."""
        engine = fleet.testbed.engines[0]
        for daemon in fleet.daemons[:2]:
            fleet.cut_of(daemon).start(Way.HANG, {engine.address})
        daemon = fleet.daemons[0]
        await fleet.testbed.wait(lambda: len(daemon._peers._address_by_name) == 2, "both peers")
        daemon._peers._random = FirstNames()
        monitor = daemon._reach_monitor
        monitor.check_endpoint(daemon._relay_directory.entry_by_id[engine.id])
        await asyncio.gather(*monitor._verify_task_by_id.values())
        for daemon in fleet.daemons:
            assert not daemon._relay_directory.loads.own_suspect_ids()

    async def test_peers_of_all_data_centres_are_asked_about_an_endpoint(
        self, fleet: StrandedFleet
    ) -> None:
        peers = fleet.daemons[0]._peers
        peers._address_by_name = {f"{zone}{number}": "" for zone in "abc" for number in range(9)}
        peers._data_centre_by_name = {name: name[0] for name in peers._address_by_name}
        for _ in range(10):
            assert sorted(name[0] for name in peers._probing_peers()) == ["a", "b", "c"]

    async def test_dead_engine_is_counted_as_lost_without_peers_that_forward(
        self, fleet: StrandedFleet
    ) -> None:
        for daemon in fleet.daemons:
            for peer in daemon._forwarding_peers.candidates():
                daemon._forwarding_peers.remove(peer.name)
        engine = fleet.testbed.engines[0]
        engine.stop()
        fleet.start_callers("stream")
        await fleet.testbed.wait(lambda: not self.is_planned(fleet, engine.id), "repair")

    async def test_engine_that_stops_is_found_and_replaced(self, fleet: StrandedFleet) -> None:
        fleet.start_callers("stream")
        engine = fleet.testbed.engines[0]
        engine.stop()
        await fleet.testbed.wait(lambda: not self.is_planned(fleet, engine.id), "repair")

    async def test_engine_that_falls_silent_for_good_is_found_and_replaced(
        self, fleet: StrandedFleet
    ) -> None:
        fleet.start_callers("stream")
        engine = fleet.testbed.engines[0]
        for daemon in fleet.daemons:
            fleet.cut_of(daemon).start(Way.HANG, {engine.address})
        await fleet.testbed.wait(lambda: not self.is_planned(fleet, engine.id), "repair")

    async def test_engine_that_stops_is_found_while_a_daemon_is_cut_off(
        self, fleet: StrandedFleet
    ) -> None:
        fleet.cut(Way.HANG, fleet.others[0])
        fleet.start_callers("stream")
        engine = fleet.testbed.engines[0]
        engine.stop()
        await fleet.testbed.wait(lambda: not self.is_planned(fleet, engine.id), "repair")

    async def test_requests_avoid_a_service_that_stops(self, fleet: StrandedFleet) -> None:
        fleet.testbed.desks[0].stop()
        judged_from = time.monotonic() + CONTACT_SECONDS
        fleet.start_callers("safe", "unsafe")
        await fleet.observe_from(judged_from)
        for daemon in fleet.daemons:
            assert not fleet.unserved_since(daemon, judged_from)
        fleet.check_runs()

    @ALL_WAYS
    async def test_daemon_cut_off_from_one_service_sends_directly_to_the_other(
        self, fleet: StrandedFleet, way: Way
    ) -> None:
        daemon, *_ = fleet.others
        cut = fleet.cut_of(daemon)
        cut.start(way, {fleet.testbed.desks[0].address})
        judged_from = time.monotonic() + CONTACT_SECONDS
        fleet.start_callers("safe", "unsafe", daemons=[daemon])
        await fleet.observe_from(judged_from)
        assert not fleet.unserved_since(daemon, judged_from)
        results = [r for r in fleet.results_by_daemon[daemon] if r.sent_at >= judged_from]
        assert all(result.attempt_id in cut.sent_attempt_ids for result in results)
        fleet.check_runs()

    async def test_nothing_is_concluded_from_a_short_silence(self, fleet: StrandedFleet) -> None:
        """A sound engine was silent for about a second, and its layers were given to others."""
        fleet.start_callers()
        await asyncio.sleep(0.5)
        before = fleet.beliefs()
        silent = [fleet.testbed.engines[0].address, fleet.testbed.desks[0].address]
        for daemon in fleet.daemons:
            fleet.cut_of(daemon).start(Way.HANG, set(silent))
        await asyncio.sleep(SILENCE_SECONDS)
        healed_at = time.monotonic()
        for daemon in fleet.daemons:
            fleet.cut_of(daemon).heal()
        await asyncio.sleep(CONTACT_SECONDS)
        assert fleet.beliefs() == before
        assert not fleet.crash_records()
        fleet.check_runs(held_up_until=healed_at)

    async def test_engine_that_refuses_late_is_not_counted_as_lost(
        self, fleet: StrandedFleet
    ) -> None:
        """A full engine refused queued requests, and daemons told each other that it was lost."""
        engine = next(e for e in fleet.testbed.engines if e.layers and not e.layers[0])
        engine.refusal_delay_seconds = LATE_REFUSAL_SECONDS
        engine.fault = "refusal"
        await self.check_is_not_lost(fleet, engine, CONTACT_SECONDS)
        assert engine.received_requests

    async def test_engine_that_others_wait_for_a_moment_is_not_counted_as_lost(
        self, fleet: StrandedFleet
    ) -> None:
        """First engines reported stalls behind a silent engine, and it was replaced at once."""
        engine = next(e for e in fleet.testbed.engines if e.layers and e.layers[0])
        engine.fault = "dark"
        asyncio.get_running_loop().call_later(SILENCE_SECONDS, setattr, engine, "fault", "")
        await self.check_is_not_lost(fleet, engine, CONTACT_SECONDS)
        assert any(e.stalled_address_by_attempt for e in fleet.testbed.engines)

    async def test_engine_that_others_wait_for_is_replaced_though_it_accepts_connections(
        self, fleet: StrandedFleet
    ) -> None:
        fleet.start_callers("stream")
        engine = next(e for e in fleet.testbed.engines if e.layers and e.layers[0])
        engine.fault = "dark"
        await fleet.testbed.wait(lambda: not self.is_planned(fleet, engine.id), "repair")

    @staticmethod
    async def check_is_not_lost(fleet: StrandedFleet, engine: Engine, seconds: float) -> None:
        """Check for a time with callers that no daemon counts an engine as lost or says so."""
        fleet.start_callers("stream")
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for daemon in fleet.daemons:
                loads = daemon._relay_directory.loads
                assert not loads.own_suspect_ids()
                assert engine.id not in loads.confirmed_lost_ids()
            await asyncio.sleep(0.02)
        await fleet.stop_callers()

    @staticmethod
    def is_planned(fleet: StrandedFleet, engine_id: str) -> bool:
        """Return whether the stored plan has layers for an engine."""
        plan = fleet.testbed.store.object_by_key["placements/model"]
        return engine_id in str(plan["spec"])
