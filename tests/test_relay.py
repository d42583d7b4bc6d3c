"""The relay before stand-ins of the users' platform: what callers get, and what ran."""

import asyncio
import gc
from collections.abc import AsyncIterator

import pytest
from prometheus_client.parser import text_string_to_metric_families
from ragwortpaddle_standins.users_platform import EVENTS, HOST, Service, StoreDoor, configuration
from ragwortpaddled.coordination._relay import _RelayedRequest
from ragwortpaddled.errors import ReplyLostError
from ragwortpaddled.protocol import RequestFacts
from ragwortpaddled.telemetry import configure_telemetry
from relay_fleet import RelayFleet

DRAIN_SECONDS = 2.0  # the platform's bound on new work for an endpoint that leaves


@pytest.fixture
async def fleet(tmp_path) -> AsyncIterator[RelayFleet]:
    fleet = RelayFleet(tmp_path)
    await fleet.start()
    yield fleet
    await fleet.stop()


class TestAnswers:
    async def test_stream_runs_every_layer_once(self, fleet: RelayFleet) -> None:
        head, body = await fleet.ask(b"POST", b"/ask/1")
        assert (head.status, body) == (200, EVENTS)
        request = next(e for e in fleet.engines if e.received).received[0]
        stages = [part.split("=")[1] for part in request.header(b"x-hop-count").decode().split(",")]
        point = 0
        for first, _, end in (stage.partition("-") for stage in stages):
            assert int(first) == point
            point = int(end)
        assert point == 8

    async def test_plain_answer_is_passed_unchanged(self, fleet: RelayFleet) -> None:
        head, body = await fleet.ask(b"GET", b"/look/7?x=1", x_other=b"kept")
        desk = next(d for d in fleet.desks if d.received)
        assert head.header(b"x-server-seal") == f"seal.{desk.id}".encode()
        assert body == b"answer of " + desk.id.encode()
        request = desk.received[0]
        assert request.target == b"/look/7?x=1"
        assert request.header(b"x-other") == b"kept"

    async def test_endpoint_learns_team_and_itself_but_not_the_key(self, fleet) -> None:
        await fleet.ask(b"GET", b"/look/7", x_tenant=b"forged")
        desk = next(d for d in fleet.desks if d.received)
        request = desk.received[0]
        assert request.header(b"x-tenant") == b"bench-team"
        assert request.header(b"x-expect-replica") == desk.id.encode()
        assert request.header(b"x-key") is None
        assert int(request.header(b"x-deadline-ms")) <= 4000

    @pytest.mark.parametrize(
        ("path", "headers", "status"),
        [(b"/nowhere/", {}, 404), (b"/look/", {"key": b"unknown"}, 401)],
    )
    async def test_refused_by_the_configuration(self, fleet, path, headers, status) -> None:
        head, _ = await fleet.ask(b"GET", path, **headers)
        assert head.status == status


class TestOnceOnly:
    async def test_lost_answer_is_not_sent_again(self, fleet: RelayFleet) -> None:
        for desk in fleet.desks:
            desk.fault = "answer lost"
        head, _ = await fleet.ask(b"POST", b"/book/1")
        assert head.status == 502
        assert sum(desk.ran("a1") for desk in fleet.desks) == 1

    async def test_refusal_by_an_endpoint_is_sent_elsewhere(self, fleet: RelayFleet) -> None:
        fleet.desks[0].fault = "full"
        for number in range(6):
            head, _ = await fleet.ask(b"POST", b"/book/1", f"b{number}".encode())
            assert head.status == 200
        assert len(fleet.desks[1].received) == 6

    async def test_refusal_by_all_is_a_promise_with_a_time(self, fleet: RelayFleet) -> None:
        for desk in fleet.desks:
            desk.fault = "full"
        head, _ = await fleet.ask(b"POST", b"/book/1", deadline=b"600")
        assert head.status == 503
        assert float(head.header(b"retry-after")) > 0
        assert not any(desk.received for desk in fleet.desks)

    async def test_time_is_over_while_it_runs(self, fleet: RelayFleet) -> None:
        for desk in fleet.desks:
            desk.fault = "hang"
        head, _ = await fleet.ask(b"POST", b"/book/1", deadline=b"400")
        assert head.status == 504
        assert sum(desk.ran("a1") for desk in fleet.desks) == 1

    @pytest.mark.parametrize("fault", ["answer lost", "crossed", "error", "hang"])
    async def test_safe_request_is_sent_again(self, fleet: RelayFleet, fault: str) -> None:
        fleet.desks[0].fault = fault
        for number in range(4):
            head, body = await fleet.ask(b"GET", b"/look/1", f"s{number}".encode())
            assert (head.status, body) == (200, b"answer of desk-1")


class TestStreams:
    async def test_torn_event_is_resumed_within_the_answer(self, fleet: RelayFleet) -> None:
        for engine in fleet.engines:
            engine.fault = "torn"
        connection = await fleet.send(b"POST", b"/ask/1")
        head = await connection.read_head()
        for engine in fleet.engines:
            engine.fault = ""
        body = b""
        while (data := await connection.read_body()) is not None:
            body += data
        assert (head.status, body) == (200, EVENTS)

    async def test_dark_stage_is_left_for_another_path(self, fleet: RelayFleet) -> None:
        connection = await fleet.send(b"POST", b"/ask/1")
        await connection.read_head()
        head_engine = next(e for e in fleet.engines if e.received)
        path = head_engine.received[0].header(b"x-hop-count").decode().split(",")
        dark = head_engine.peers[path[-1].partition("=")[0]]
        dark.fault = "dark"
        body = b""
        while (data := await connection.read_body()) is not None:
            body += data
        assert body == EVENTS

    async def test_pause_without_a_culprit_outlasts_the_last_attempt(self, fleet) -> None:
        """A busy link stalls every path for a second; the last attempt is not given up for it."""
        for engine in fleet.engines:
            engine.pause_at = 3
        head, body = await fleet.ask(b"POST", b"/ask/1")
        assert (head.status, body) == (200, EVENTS)
        assert sum(engine.ran("a1") for engine in fleet.engines) == 2

    async def test_stream_that_may_not_resume_is_cut(self, fleet: RelayFleet) -> None:
        for engine in fleet.engines:
            engine.fault = "torn"
        with pytest.raises(ReplyLostError):
            await fleet.ask(b"POST", b"/once/1")
        assert sum(engine.ran("a1") for engine in fleet.engines) == 1

    async def test_caller_that_leaves_ends_the_work(self, fleet: RelayFleet) -> None:
        for engine in fleet.engines:
            engine.total_events = 10_000
        connection = await fleet.send(b"POST", b"/ask/1")
        await connection.read_head()
        connection.close()
        await fleet.wait(lambda: not any(e.running for e in fleet.engines), "end of the work")


class TestGivenUpStep:
    async def test_error_of_a_step_that_nobody_waits_for_is_looked_at(self) -> None:
        """The step fails while its stall is looked into, and then the caller leaves."""

        class SlowFaults:
            async def culprit(self, target: object, attempt_id: str) -> None:
                await asyncio.sleep(0.2)

        async def step() -> None:
            await asyncio.sleep(0.03)
            raise ReplyLostError("lost")

        unseen: list[dict] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: unseen.append(context))
        request = object.__new__(_RelayedRequest)
        request.faults = SlowFaults()
        request.facts = RequestFacts("a1")
        waiting = asyncio.create_task(request._unless_stalled(step(), 0.01, None))
        await asyncio.sleep(0.08)
        waiting.cancel()
        await asyncio.wait([waiting])
        del waiting
        gc.collect()
        assert not unseen


class TestChanges:
    async def test_leaving_endpoint_gets_nothing_new(self, fleet: RelayFleet) -> None:
        fleet.desks[0].register("draining")
        await asyncio.sleep(DRAIN_SECONDS / 2)
        for number in range(6):
            await fleet.ask(b"GET", b"/look/1", f"s{number}".encode())
        assert not fleet.desks[0].received

    async def test_new_configuration_is_in_force(self, fleet: RelayFleet) -> None:
        routes = configuration()["routes"][:2]
        fleet.store.put("config", "main", configuration(5, routes=routes))
        await asyncio.sleep(0.1)
        assert (await fleet.ask(b"GET", b"/look/1"))[0].status == 404

    async def test_older_configuration_is_not(self, fleet: RelayFleet) -> None:
        fleet.store.put("config", "main", configuration(5))
        await asyncio.sleep(0.1)
        fleet.store.put("config", "main", configuration(4, routes=[]))
        await asyncio.sleep(0.1)
        assert (await fleet.ask(b"GET", b"/look/1"))[0].status == 200

    async def test_malformed_objects_disturb_nothing(self, fleet: RelayFleet) -> None:
        fleet.store.put("servers", "stranger", {"service": 7})
        fleet.store.put("config", "main", {"version": "seven"})
        fleet.store.put("daemons", "stranger", {"address": 7})
        await asyncio.sleep(0.1)
        assert (await fleet.ask(b"GET", b"/look/1"))[0].status == 200

    async def test_malformed_plan_is_made_anew(self, tmp_path) -> None:
        fleet = RelayFleet(tmp_path)
        fleet.store.put("placements", "model", {"chains": "none"})
        await fleet.start()
        try:
            assert (await fleet.ask(b"POST", b"/ask/1"))[0].status == 200
        finally:
            await fleet.stop()

    async def test_change_in_a_lost_history_is_seen(self, fleet: RelayFleet) -> None:
        fleet.store.history_from = fleet.store.revision + 9
        fleet.store.put("config", "main", configuration(5, routes=[]))
        fleet.store.forget_history()
        await asyncio.sleep(0.3)
        assert (await fleet.ask(b"GET", b"/look/1"))[0].status == 404


class TestDaemonThatTheStoreTurnsAway:
    async def test_leaving_endpoint_gets_nothing_new(self, fleet: RelayFleet) -> None:
        door = StoreDoor(fleet.store)
        await door.start()
        peer = fleet.daemon
        fleet.daemon = await fleet.start_daemon("entry-2", door.address)
        try:
            await fleet.wait(lambda: len(peer.peers_in_touch) == 1, "a peer of entry-1")
            await fleet.wait(lambda: len(fleet.daemon.peers_in_touch) == 1, "a peer of entry-2")
            door.shut()
            fleet.desks[0].register("draining")
            fleet.store.remove("servers", fleet.desks[1].id)
            newcomer = Service(fleet.store, "desk-9", "desk", "dc-a")
            await newcomer.start()
            await asyncio.sleep(DRAIN_SECONDS)
            for number in range(6):
                head, _ = await fleet.ask(b"GET", b"/look/1", f"s{number}".encode())
                assert head.status == 200
            assert not fleet.desks[0].received and not fleet.desks[1].received
            newcomer.stop()
        finally:
            await peer.end()
            door.stop()


class TestOrders:
    async def test_long_load_is_left_to_end(self, tmp_path) -> None:
        fleet = RelayFleet(tmp_path)
        for engine in fleet.engines:
            engine.load_seconds = 3.0
        await fleet.start()
        try:
            assert (await fleet.ask(b"POST", b"/ask/1"))[0].status == 200
            assert all(engine.orders == 1 for engine in fleet.engines)
        finally:
            await fleet.stop()


class TestMetrics:
    async def test_counters_and_latencies_by_outcome(self, fleet: RelayFleet) -> None:
        configure_telemetry("entry-1", "none", None, "", 0.0)
        await fleet.ask(b"POST", b"/ask/1", b"m1")
        await fleet.ask(b"GET", b"/look/1", b"m2")
        await fleet.ask(b"GET", b"/unknown/1", b"m3")
        connection = await fleet.pool.take(fleet.daemon.metrics_address)
        await connection.send(b"GET", b"/metrics", [(b"Host", HOST)], b"")
        assert (await connection.read_head()).status == 200
        text = b""
        while (data := await connection.read_body()) is not None:
            text += data
        samples = {
            (sample.name, *(v for k, v in sample.labels.items() if not k.startswith("otel_"))): (
                sample.value
            )
            for family in text_string_to_metric_families(text.decode())
            for sample in family.samples
        }
        assert samples["ragwortpaddle_requests_total", "served"] >= 2
        assert samples["ragwortpaddle_requests_total", "refused 404"] >= 1
        assert samples["ragwortpaddle_request_seconds_count", "served"] >= 2
        assert samples["ragwortpaddle_attempts_total", "answered"] >= 2
        assert samples[("ragwortpaddle_first_event_seconds_count",)] >= 1
        assert samples["ragwortpaddle_place_wait_seconds_count", "desk"] >= 1
        assert any(key[0] == "ragwortpaddle_request_seconds_bucket" for key in samples)


class TestEnd:
    async def test_running_stream_is_finished(self, fleet: RelayFleet) -> None:
        for engine in fleet.engines:
            engine.total_events = 100
        connection = await fleet.send(b"POST", b"/ask/1")
        await connection.read_head()
        ending = asyncio.create_task(fleet.daemon.end())
        count = 0
        while (data := await connection.read_body()) is not None:
            count += data.count(b"\n\n")
        assert count == 100
        await ending
        fleet.daemon = None

    async def test_not_ready_at_once(self, fleet: RelayFleet) -> None:
        async def ready() -> int:
            connection = await fleet.pool.take(fleet.daemon.ready_address)
            await connection.send(b"GET", b"/api/readyz", [(b"Host", HOST)], b"")
            return (await connection.read_head()).status

        assert await ready() == 200
        ending = asyncio.create_task(fleet.daemon.end())
        await asyncio.sleep(0)
        assert await ready() == 503
        await ending
        fleet.daemon = None
