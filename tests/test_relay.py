"""A relay daemon between test callers and stand-ins of the platform: responses and executions."""

import asyncio
import gc
from collections.abc import AsyncIterator

import pytest
from prometheus_client.parser import text_string_to_metric_families
from ragwortpaddle_standins.relay_platform import (
    EVENT_STREAM,
    HOST,
    Service,
    StoreFrontend,
    configuration,
)
from ragwortpaddled.coordination._relayed_request import RelayedRequest
from ragwortpaddled.errors import ReplyLostError
from ragwortpaddled.protocol import RequestMetadata
from ragwortpaddled.telemetry import configure_telemetry
from relay_fleet import RelayTestBed

DRAIN_SECONDS = 2.0  # the platform's limit for stopping new requests to a leaving endpoint


@pytest.fixture
async def testbed(tmp_path) -> AsyncIterator[RelayTestBed]:
    async with RelayTestBed(tmp_path) as testbed:
        yield testbed


class TestResponses:
    async def test_stream_runs_every_layer_once(self, testbed: RelayTestBed) -> None:
        head, body = await testbed.ask(b"POST", b"/ask/1")
        assert (head.status, body) == (200, EVENT_STREAM)
        request = next(e for e in testbed.engines if e.received_requests).received_requests[0]
        stages = [part.split("=")[1] for part in request.header(b"x-hop-count").decode().split(",")]
        next_layer = 0
        for first, _, end in (stage.partition("-") for stage in stages):
            assert int(first) == next_layer
            next_layer = int(end)
        assert next_layer == 8

    async def test_plain_response_is_forwarded_unchanged(self, testbed: RelayTestBed) -> None:
        head, body = await testbed.ask(b"GET", b"/look/7?x=1", x_other=b"kept")
        desk = next(d for d in testbed.desks if d.received_requests)
        assert head.header(b"x-server-seal") == f"seal.{desk.id}".encode()
        assert body == b"answer of " + desk.id.encode()
        request = desk.received_requests[0]
        assert request.target == b"/look/7?x=1"
        assert request.header(b"x-other") == b"kept"

    async def test_endpoint_gets_team_and_its_own_id_but_not_the_api_key(self, testbed) -> None:
        await testbed.ask(b"GET", b"/look/7", x_tenant=b"forged")
        desk = next(d for d in testbed.desks if d.received_requests)
        request = desk.received_requests[0]
        assert request.header(b"x-tenant") == b"bench-team"
        assert request.header(b"x-expect-replica") == desk.id.encode()
        assert request.header(b"x-key") is None
        assert int(request.header(b"x-deadline-ms")) <= 4000

    @pytest.mark.parametrize(
        ("path", "headers", "status"),
        [(b"/nowhere/", {}, 404), (b"/look/", {"key": b"unknown"}, 401)],
    )
    async def test_unknown_route_and_unknown_key_are_refused(
        self, testbed, path, headers, status
    ) -> None:
        head, _ = await testbed.ask(b"GET", path, **headers)
        assert head.status == status


class TestRetries:
    async def test_unsafe_request_with_lost_response_is_not_retried(
        self, testbed: RelayTestBed
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "answer lost"
        head, _ = await testbed.ask(b"POST", b"/book/1")
        assert head.status == 502
        assert sum(desk.count_executions("a1") for desk in testbed.desks) == 1

    async def test_request_refused_by_an_endpoint_is_retried_at_another(
        self, testbed: RelayTestBed
    ) -> None:
        testbed.desks[0].fault = "full"
        for number in range(6):
            head, _ = await testbed.ask(b"POST", b"/book/1", f"b{number}".encode())
            assert head.status == 200
        assert len(testbed.desks[1].received_requests) == 6

    async def test_refusal_by_all_endpoints_gives_503_with_retry_after_and_no_run(
        self, testbed: RelayTestBed
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "full"
        head, _ = await testbed.ask(b"POST", b"/book/1", deadline=b"600")
        assert head.status == 503
        assert float(head.header(b"retry-after")) > 0
        assert not any(desk.received_requests for desk in testbed.desks)

    async def test_deadline_during_a_run_gives_504_without_a_retry(
        self, testbed: RelayTestBed
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "hang"
        head, _ = await testbed.ask(b"POST", b"/book/1", deadline=b"400")
        assert head.status == 504
        assert sum(desk.count_executions("a1") for desk in testbed.desks) == 1

    @pytest.mark.parametrize("fault", ["answer lost", "crossed", "error", "hang"])
    async def test_safe_request_is_retried(self, testbed: RelayTestBed, fault: str) -> None:
        testbed.desks[0].fault = fault
        for number in range(4):
            head, body = await testbed.ask(b"GET", b"/look/1", f"s{number}".encode())
            assert (head.status, body) == (200, b"answer of desk-1")


class TestStreams:
    async def test_partial_event_is_resumed_within_the_same_response(
        self, testbed: RelayTestBed
    ) -> None:
        for engine in testbed.engines:
            engine.fault = "torn"
        connection = await testbed.send(b"POST", b"/ask/1")
        head = await connection.read_head()
        for engine in testbed.engines:
            engine.fault = ""
        body = b""
        while (data := await connection.read_body_part()) is not None:
            body += data
        assert (head.status, body) == (200, EVENT_STREAM)

    async def test_stream_without_length_or_chunks_is_complete_at_its_end(
        self, testbed: RelayTestBed
    ) -> None:
        for engine in testbed.engines:
            engine.fault = "unframed"
        head, body = await testbed.ask(b"POST", b"/ask/1")
        assert (head.status, body) == (200, EVENT_STREAM)

    @pytest.mark.parametrize("fault", ["unframed torn", "unframed empty"])
    async def test_stream_without_length_or_chunks_is_resumed_if_broken_off(
        self, testbed: RelayTestBed, fault: str
    ) -> None:
        """Such a stream ends with its connection, also when its engine ends before it began."""
        request_count = 0
        for engine in testbed.engines:
            engine.fault = fault
        asking = asyncio.create_task(testbed.ask(b"POST", b"/ask/1"))
        while not request_count:
            await asyncio.sleep(0)
            request_count = sum(engine.count_executions("a1") for engine in testbed.engines)
        for engine in testbed.engines:
            engine.fault = ""
        head, body = await asking
        assert (head.status, body) == (200, EVENT_STREAM)

    async def test_unresponsive_stage_is_replaced_by_another_path(
        self, testbed: RelayTestBed
    ) -> None:
        connection = await testbed.send(b"POST", b"/ask/1")
        await connection.read_head()
        head_engine = next(e for e in testbed.engines if e.received_requests)
        path = head_engine.received_requests[0].header(b"x-hop-count").decode().split(",")
        unresponsive = head_engine.engine_by_address[path[-1].partition("=")[0]]
        unresponsive.fault = "dark"
        body = b""
        while (data := await connection.read_body_part()) is not None:
            body += data
        assert body == EVENT_STREAM

    @pytest.mark.parametrize("fault", ["trickle", "endless event"])
    async def test_bytes_that_complete_no_event_are_not_progress(
        self, testbed: RelayTestBed, fault: str
    ) -> None:
        """The first engine sends bytes without end, one now and then or as fast as it can."""
        connection = await testbed.send(b"POST", b"/ask/1", deadline=b"4000")
        await connection.read_head()
        stalled = next(e for e in testbed.engines if e.received_requests)
        stalled.fault = fault
        body = b""
        while (data := await connection.read_body_part()) is not None:
            body += data
        assert body == EVENT_STREAM
        await testbed.wait(lambda: not stalled.running, "end of the abandoned work")

    async def test_slow_stream_with_whole_events_is_not_cut(self, testbed: RelayTestBed) -> None:
        for engine in testbed.engines:
            engine.event_interval_seconds = 0.4
        head, body = await testbed.ask(b"POST", b"/ask/1", deadline=b"9000")
        assert (head.status, body) == (200, EVENT_STREAM)
        assert sum(engine.count_executions("a1") for engine in testbed.engines) == 1

    async def test_last_attempt_is_not_aborted_for_a_stall_without_a_faulty_engine(
        self, testbed
    ) -> None:
        """A busy link stalls every path for a second; the last attempt must wait that out."""
        for engine in testbed.engines:
            engine.pause_before_event = 3
        head, body = await testbed.ask(b"POST", b"/ask/1")
        assert (head.status, body) == (200, EVENT_STREAM)
        assert sum(engine.count_executions("a1") for engine in testbed.engines) == 2

    async def test_stream_that_is_not_resumable_is_aborted(self, testbed: RelayTestBed) -> None:
        for engine in testbed.engines:
            engine.fault = "torn"
        with pytest.raises(ReplyLostError):
            await testbed.ask(b"POST", b"/once/1")
        assert sum(engine.count_executions("a1") for engine in testbed.engines) == 1

    async def test_caller_disconnect_cancels_the_work_at_engines(
        self, testbed: RelayTestBed
    ) -> None:
        for engine in testbed.engines:
            engine.event_count = 10_000
        connection = await testbed.send(b"POST", b"/ask/1")
        await connection.read_head()
        connection.close()
        await testbed.wait(lambda: not any(e.running for e in testbed.engines), "end of the work")


class TestAbandonedOperation:
    async def test_error_of_an_abandoned_operation_is_retrieved(self) -> None:
        """The operation fails while its stall is investigated, and then the caller disconnects.

        Without retrieving its error, asyncio reports an exception that was never retrieved.
        """

        class SlowStallLocator:
            async def locate_stall(self, target: object, attempt_id: str) -> None:
                await asyncio.sleep(0.2)

        async def operation() -> None:
            await asyncio.sleep(0.03)
            raise ReplyLostError("lost")

        unhandled: list[dict] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: unhandled.append(context)
        )
        request = object.__new__(RelayedRequest)
        request.stall_locator = SlowStallLocator()
        request.metadata = RequestMetadata("a1")
        waiting = asyncio.create_task(request._await_progress(operation(), 0.01, None))
        await asyncio.sleep(0.08)
        waiting.cancel()
        await asyncio.wait([waiting])
        del waiting
        gc.collect()
        assert not unhandled


class TestConfigurationAndEndpointChanges:
    async def test_leaving_endpoint_gets_no_new_requests(self, testbed: RelayTestBed) -> None:
        testbed.desks[0].register("draining")
        await asyncio.sleep(DRAIN_SECONDS / 2)
        for number in range(6):
            await testbed.ask(b"GET", b"/look/1", f"s{number}".encode())
        assert not testbed.desks[0].received_requests

    async def test_newer_configuration_takes_effect(self, testbed: RelayTestBed) -> None:
        routes = configuration()["routes"][:2]
        testbed.store.put("config", "main", configuration(5, routes=routes))
        await asyncio.sleep(0.1)
        assert (await testbed.ask(b"GET", b"/look/1"))[0].status == 404

    async def test_older_configuration_is_ignored(self, testbed: RelayTestBed) -> None:
        testbed.store.put("config", "main", configuration(5))
        await asyncio.sleep(0.1)
        testbed.store.put("config", "main", configuration(4, routes=[]))
        await asyncio.sleep(0.1)
        assert (await testbed.ask(b"GET", b"/look/1"))[0].status == 200

    async def test_malformed_objects_are_ignored(self, testbed: RelayTestBed) -> None:
        testbed.store.put("servers", "stranger", {"service": 7})
        testbed.store.put("config", "main", {"version": "seven"})
        testbed.store.put("daemons", "stranger", {"address": 7})
        await asyncio.sleep(0.1)
        assert (await testbed.ask(b"GET", b"/look/1"))[0].status == 200

    async def test_malformed_placement_plan_is_replaced(self, tmp_path) -> None:
        testbed = RelayTestBed(tmp_path)
        testbed.store.put("placements", "model", {"chains": "none"})
        await testbed.start()
        try:
            assert (await testbed.ask(b"POST", b"/ask/1"))[0].status == 200
        finally:
            await testbed.stop()

    async def test_change_is_applied_although_the_store_lost_its_history(
        self, testbed: RelayTestBed
    ) -> None:
        testbed.store.oldest_retained_revision = testbed.store.revision + 9
        testbed.store.put("config", "main", configuration(5, routes=[]))
        testbed.store.compact_history()
        await asyncio.sleep(0.3)
        assert (await testbed.ask(b"GET", b"/look/1"))[0].status == 404


class TestDaemonWithoutStore:
    async def test_endpoint_changes_arrive_through_a_peer(self, testbed: RelayTestBed) -> None:
        frontend = StoreFrontend(testbed.store)
        await frontend.start()
        peer = testbed.daemon
        testbed.daemon = await testbed.start_daemon("entry-2", frontend.address)
        try:
            await testbed.wait(lambda: len(peer.reachable_peers) == 1, "reachable peer of entry-1")
            await testbed.wait(
                lambda: len(testbed.daemon.reachable_peers) == 1, "reachable peer of entry-2"
            )
            frontend.start_rejecting()
            testbed.desks[0].register("draining")
            testbed.store.remove("servers", testbed.desks[1].id)
            new_service = Service(testbed.store, "desk-9", "desk", "dc-a")
            await new_service.start()
            await asyncio.sleep(DRAIN_SECONDS)
            for number in range(6):
                head, _ = await testbed.ask(b"GET", b"/look/1", f"s{number}".encode())
                assert head.status == 200
            assert not testbed.desks[0].received_requests and not testbed.desks[1].received_requests
            new_service.stop()
        finally:
            await peer.shutdown()
            frontend.stop()


class TestOrders:
    async def test_order_is_not_resent_while_an_engine_loads(self, tmp_path) -> None:
        testbed = RelayTestBed(tmp_path)
        for engine in testbed.engines:
            engine.load_seconds = 3.0
        await testbed.start()
        try:
            assert (await testbed.ask(b"POST", b"/ask/1"))[0].status == 200
            assert all(engine.accepted_order_count == 1 for engine in testbed.engines)
        finally:
            await testbed.stop()


class TestMetrics:
    async def test_request_counters_and_latencies_are_labelled_by_outcome(
        self, testbed: RelayTestBed
    ) -> None:
        configure_telemetry("entry-1", "none", None, "", 0.0)
        await testbed.ask(b"POST", b"/ask/1", b"m1")
        await testbed.ask(b"GET", b"/look/1", b"m2")
        await testbed.ask(b"GET", b"/unknown/1", b"m3")
        connection = await testbed.pool.acquire(testbed.daemon.metrics_address)
        await connection.send(b"GET", b"/metrics", [(b"Host", HOST)], b"")
        assert (await connection.read_head()).status == 200
        text = b""
        while (data := await connection.read_body_part()) is not None:
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


class TestUnexpectedErrors:
    """An error that is neither an endpoint's nor a refusal reset the caller."""

    @staticmethod
    def fail(*_: object, **__: object) -> None:
        raise ValueError("unexpected")

    async def test_error_before_an_attempt_gives_500(self, testbed, monkeypatch) -> None:
        monkeypatch.setattr(testbed.daemon._dispatcher, "acquire", self.fail)
        head, _ = await testbed.ask(b"POST", b"/book/1")
        assert head.status == 500
        assert not any(desk.received_requests for desk in testbed.desks)

    async def test_error_after_a_request_was_sent_gives_502(self, testbed, monkeypatch) -> None:
        dialect = testbed.daemon._endpoint_client._dialect
        monkeypatch.setattr(dialect, "parse_response_headers", self.fail)
        head, _ = await testbed.ask(b"POST", b"/book/1")
        assert head.status == 502
        assert sum(desk.count_executions("a1") for desk in testbed.desks) == 1

    async def test_later_requests_are_served(self, testbed, monkeypatch) -> None:
        with monkeypatch.context() as context:
            context.setattr(testbed.daemon._dispatcher, "acquire", self.fail)
            await testbed.ask(b"POST", b"/book/1")
        head, _ = await testbed.ask(b"POST", b"/book/2", b"a2")
        assert head.status == 200


class TestShutdown:
    async def test_running_stream_completes(self, testbed: RelayTestBed) -> None:
        for engine in testbed.engines:
            engine.event_count = 100
        connection = await testbed.send(b"POST", b"/ask/1")
        await connection.read_head()
        shutdown_task = asyncio.create_task(testbed.daemon.shutdown())
        count = 0
        while (data := await connection.read_body_part()) is not None:
            count += data.count(b"\n\n")
        assert count == 100
        await shutdown_task
        testbed.daemon = None

    async def test_readiness_fails_immediately(self, testbed: RelayTestBed) -> None:
        async def ready() -> int:
            connection = await testbed.pool.acquire(testbed.daemon.ready_address)
            await connection.send(b"GET", b"/api/readyz", [(b"Host", HOST)], b"")
            return (await connection.read_head()).status

        assert await ready() == 200
        shutdown_task = asyncio.create_task(testbed.daemon.shutdown())
        await asyncio.sleep(0)
        assert await ready() == 503
        await shutdown_task
        testbed.daemon = None
