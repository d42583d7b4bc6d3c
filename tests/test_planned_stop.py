"""A planned stop of a relay daemon under load: which requests it takes, and how it ends the rest.

Every request that it has read gets a complete response, unless its response had started; those that
may not be repeated are passed on only if they are expected to end in time.
"""

import asyncio
import logging
import time
from collections.abc import AsyncIterator, Awaitable

import pytest
from ragwortpaddle_standins.relay_platform import EVENT_STREAM, caller_headers, configuration
from ragwortpaddled.errors import ReplyLostError
from ragwortpaddled.transport import Http1Connection, ResponseHead
from relay_fleet import RelayTestBed

GRACE_SECONDS = 4.0  # of the test bed's daemons
LAG_SECONDS = 0.3
KNOWN_RESPONSES = 12  # enough for the daemon to know how long the pool takes


@pytest.fixture
async def testbed(tmp_path) -> AsyncIterator[RelayTestBed]:
    async with RelayTestBed(tmp_path) as testbed:
        long_routes = [dict(route, timeoutMs=20000) for route in configuration()["routes"]]
        testbed.store.put("config", "main", configuration(2, routes=long_routes))
        await testbed.wait(
            lambda: testbed.daemon._relay_directory.config.version == 2, "configuration"
        )
        yield testbed


async def stop(testbed: RelayTestBed) -> asyncio.Task[None]:
    """Begin a planned stop."""
    shutdown_task = asyncio.create_task(testbed.daemon.shutdown())
    await asyncio.sleep(0)
    return shutdown_task


async def finish(testbed: RelayTestBed, shutdown_task: Awaitable[None]) -> None:
    """Wait for the end of a planned stop."""
    await shutdown_task
    testbed.daemon = None


async def send_again(connection: Http1Connection, method: bytes, path: bytes, attempt: bytes):
    """Send another request on an open connection and return its response."""
    await connection.send(method, path, caller_headers(attempt, deadline_ms=b"20000"), b"")
    return await read(connection)


async def read(connection: Http1Connection) -> tuple[ResponseHead, bytes]:
    head = await connection.read_head()
    return head, await connection.read_body()


async def send(testbed: RelayTestBed, method: bytes, path: bytes, attempt: bytes):
    return await testbed.send(method, path, attempt, deadline=b"20000")


class TestNewRequests:
    """A request that arrives during a stop is passed on only if it can be expected to end."""

    async def test_request_that_cannot_end_in_time_is_refused_at_once(self, testbed) -> None:
        for engine in testbed.engines:
            engine.event_interval_seconds = 0.5  # a stream takes longer than the grace period
        connections = [
            await send(testbed, b"POST", b"/once/1", b"k%d" % number)
            for number in range(KNOWN_RESPONSES)
        ]
        for connection in connections:
            assert (await read(connection))[0].status == 200
        shutdown_task = await stop(testbed)
        sent_at = time.monotonic()
        head, _ = await send_again(connections[0], b"POST", b"/once/1", b"late")
        assert head.status == 503
        assert time.monotonic() - sent_at < LAG_SECONDS
        assert head.header(b"connection") == b"close"
        assert 0 < float(head.header(b"retry-after")) < 0.5
        assert sum(engine.count_executions("late") for engine in testbed.engines) == 0
        await finish(testbed, shutdown_task)

    async def test_short_request_is_served_during_the_stop(self, testbed) -> None:
        for number in range(KNOWN_RESPONSES):
            await testbed.ask(b"GET", b"/look/1", b"k%d" % number)
        connection = await send(testbed, b"GET", b"/look/1", b"first")
        await read(connection)
        shutdown_task = await stop(testbed)
        head, _ = await send_again(connection, b"GET", b"/look/1", b"late")
        assert head.status == 200
        assert head.header(b"connection") == b"close"
        await finish(testbed, shutdown_task)

    async def test_streams_cut_at_their_deadline_count_as_long_responses(self, testbed) -> None:
        for engine in testbed.engines:
            engine.event_count = 1_000_000
        connections = [
            await testbed.send(b"POST", b"/once/1", b"k%d" % number, deadline=b"800")
            for number in range(KNOWN_RESPONSES)
        ]
        for connection in connections:
            with pytest.raises(ReplyLostError):
                await read(connection)
        assert testbed.daemon._relay._response_times.high_seconds("model") >= 0.8

    async def test_refused_requests_do_not_count_as_short_responses(self, testbed) -> None:
        for desk in testbed.desks:
            desk.fault = "full"
        for number in range(KNOWN_RESPONSES):
            head, _ = await testbed.ask(b"POST", b"/book/1", b"k%d" % number, deadline=b"300")
            assert head.status == 503
        assert testbed.daemon._relay._response_times.high_seconds("desk") is None

    async def test_refusals_spread_their_callers(self, testbed) -> None:
        relay = testbed.daemon._relay
        seconds = {relay._stop_refusal("shutting down").retry_after_seconds for _ in range(20)}
        assert len(seconds) > 10


class TestOtherServers:
    """The balancer's probes and the metrics while a daemon without requests stops."""

    async def test_probe_that_crosses_the_close_is_answered(
        self, testbed, caplog, monkeypatch
    ) -> None:
        """Its connection was reset, or its answer called cut off at the end of the grace period."""
        caplog.set_level(logging.INFO, "ragwortpaddled")
        server = testbed.daemon._ready_server
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await testbed.wait(lambda: server._task_by_connection, "connection of the balancer")
        stop_accepting = server.stop_accepting

        def receive_and_stop() -> None:
            probe = b"GET /api/readyz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n"
            writer.get_extra_info("socket")._sock.send(probe)
            stop_accepting()

        monkeypatch.setattr(server, "stop_accepting", receive_and_stop)
        await finish(testbed, await stop(testbed))
        answer = await reader.read()
        writer.close()
        assert answer.startswith(b"HTTP/1.1 503")
        assert answer.endswith(b"not ready")
        assert "response aborted" not in [r.getMessage() for r in caplog.records]


class TestLease:
    async def test_it_is_given_up_while_requests_still_run(self, testbed) -> None:
        """It was held until the end of the grace period, of which streams got less for that."""
        for engine in testbed.engines:
            engine.event_interval_seconds = 0.2
        lease_key = "leases/placement"
        object_by_key = testbed.store.object_by_key
        await testbed.wait(lambda: lease_key in object_by_key, "lease")
        stream = await send(testbed, b"POST", b"/once/1", b"a1")
        await stream.read_head()
        shutdown_task = await stop(testbed)
        await testbed.wait(lambda: not object_by_key[lease_key]["spec"]["holder"], "release")
        released = object_by_key[lease_key]
        assert testbed.daemon._server.in_flight == 1
        assert not testbed.daemon._layer_placer.holds_lease
        assert await stream.read_body() == EVENT_STREAM
        await finish(testbed, shutdown_task)
        assert object_by_key[lease_key] == released


class TestReload:
    """Settings that change beside requests, with SIGHUP or without."""

    async def test_requests_in_flight_are_served(self, testbed) -> None:
        for engine in testbed.engines:
            engine.event_interval_seconds = 0.1
        for desk in testbed.desks:
            desk.fault = "pause"
        stream = await send(testbed, b"POST", b"/once/1", b"a1")
        await stream.read_head()
        running = await send(testbed, b"POST", b"/book/1", b"a2")
        await testbed.wait(lambda: any(d.received_requests for d in testbed.desks), "execution")
        path = testbed.daemon._settings_path
        path.write_text(path.read_text().replace("grace_seconds = 4", "grace_seconds = 3"))
        testbed.daemon._reload_settings()
        assert testbed.daemon._settings.end.grace_seconds == 3.0
        assert await stream.read_body() == EVENT_STREAM
        assert (await read(running))[0].status == 200
        assert (await send_again(running, b"GET", b"/look/1", b"a3"))[0].status == 200


class TestRequestsInFlight:
    """At the end of the grace period each request gets a final answer that is true."""

    async def test_request_that_may_have_run_gets_502(self, testbed) -> None:
        for desk in testbed.desks:
            desk.fault = "hang"
        connection = await send(testbed, b"POST", b"/book/1", b"a1")
        await testbed.wait(lambda: any(d.received_requests for d in testbed.desks), "execution")
        shutdown_task = await stop(testbed)
        head, _ = await read(connection)
        assert head.status == 502
        assert head.header(b"connection") == b"close"
        await finish(testbed, shutdown_task)

    async def test_queued_request_gets_503_and_never_runs(self, testbed) -> None:
        for desk in testbed.desks:
            desk.fault = "hang"
        slots = sum(desk.slots for desk in testbed.desks)
        running = [
            await send(testbed, b"POST", b"/book/1", b"r%d" % number) for number in range(slots)
        ]
        await testbed.wait(
            lambda: sum(len(d.received_requests) for d in testbed.desks) == slots, "full desks"
        )
        queued = await send(testbed, b"POST", b"/book/1", b"queued")
        await testbed.wait(
            lambda: testbed.daemon._dispatcher.waiting_count("desk") == 1, "queued request"
        )
        shutdown_task = await stop(testbed)
        assert (await read(queued))[0].status == 503
        assert [(await read(connection))[0].status for connection in running] == [502] * slots
        assert sum(desk.count_executions("queued") for desk in testbed.desks) == 0
        await finish(testbed, shutdown_task)

    async def test_request_without_a_connection_to_an_endpoint_gets_503(
        self, testbed, monkeypatch
    ) -> None:
        connecting = asyncio.Event()

        async def connect_without_end(*_: object, **__: object) -> None:
            connecting.set()
            await asyncio.Event().wait()

        monkeypatch.setattr(
            testbed.daemon._endpoint_client.connections, "acquire", connect_without_end
        )
        connection = await send(testbed, b"POST", b"/book/1", b"a1")
        await connecting.wait()
        shutdown_task = await stop(testbed)
        assert (await read(connection))[0].status == 503
        await finish(testbed, shutdown_task)

    async def test_started_stream_is_reset_and_logged_as_the_daemons_end(
        self, testbed, caplog
    ) -> None:
        caplog.set_level(logging.INFO, "ragwortpaddled")
        for engine in testbed.engines:
            engine.event_count = 1_000_000
        connection = await send(testbed, b"POST", b"/once/1", b"a1")
        await connection.read_head()
        shutdown_task = await stop(testbed)
        with pytest.raises(ReplyLostError):
            while await connection.read_body_part() is not None:
                pass
        await finish(testbed, shutdown_task)
        messages = [r.getMessage() for r in caplog.records if getattr(r, "request_id", "") == "a1"]
        assert "caller disconnected" not in messages
        (end,) = (r for r in caplog.records if r.getMessage() == "response aborted" and r.fields)
        assert end.request_id == "a1"
        assert end.fields["reason"] == "end of the grace period"
        assert end.fields["response"] == "started"

    async def test_stop_with_requests_that_never_end_takes_less_than_the_grace_period(
        self, testbed
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "hang"
        connection = await send(testbed, b"POST", b"/book/1", b"a1")
        await testbed.wait(lambda: any(d.received_requests for d in testbed.desks), "execution")
        started_at = time.monotonic()
        await finish(testbed, await stop(testbed))
        assert time.monotonic() - started_at < GRACE_SECONDS
        connection.close()
