"""A configuration that changes while a request is being read, is queued, runs or is answered.

Each request gets exactly one answer, or one refusal that names what the new configuration lacks.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import pytest
from ragwortpaddle_standins.relay_platform import EVENT_STREAM, caller_headers, configuration
from ragwortpaddled.transport import Http1Connection
from relay_fleet import RelayTestBed

BODY = b"x" * 64
ROUTES = configuration()["routes"]


def with_routes(**fields: object) -> dict:
    """Return a configuration in which all routes have other values."""
    return configuration(2, routes=[dict(route, **fields) for route in ROUTES])


@dataclass(frozen=True)
class Change:
    """A second configuration, and the status of a request that it routes."""

    config: dict
    status: int = 200
    slow_status: int = 0  # likewise, of one that takes a second; 0 if it is the same


CHANGE_BY_NAME = {
    "routes removed": Change(configuration(2, routes=[]), 404),
    "services removed": Change(configuration(2, routes=[], services=[]), 404),
    "routes moved": Change(
        configuration(
            2,
            routes=[
                dict(route, service="empty") for route in ROUTES if route["kind"] != "streaming"
            ],
            services=[*configuration()["services"], {"name": "empty", "maxConns": 100}],
        ),
        503,
    ),
    "time-outs shortened": Change(with_routes(timeoutMs=300), slow_status=504),
    "time-outs lengthened": Change(with_routes(timeoutMs=20000)),
    "team removed": Change(
        configuration(2, tenants=[{"name": "other", "apiKeys": ["other"]}]), 401
    ),
    "limits lowered": Change(
        configuration(2, limits={"maxHeaderBytes": 20, "maxBodyBytes": 8, "idleTimeoutMs": 50}),
        413,
    ),
    "limits raised": Change(
        configuration(2, limits={"maxBodyBytes": 8_000_000, "idleTimeoutMs": 60_000})
    ),
}


@pytest.fixture(params=CHANGE_BY_NAME)
def change(request: pytest.FixtureRequest) -> Change:
    return CHANGE_BY_NAME[request.param]


@pytest.fixture
async def testbed(tmp_path) -> AsyncIterator[RelayTestBed]:
    async with RelayTestBed(tmp_path) as testbed:
        yield testbed


async def apply(testbed: RelayTestBed, change: Change) -> None:
    """Store the new configuration and wait until it is in force."""
    testbed.store.put("config", "main", change.config)
    await testbed.wait(lambda: testbed.daemon._relay_directory.config.version == 2, "configuration")


async def read(connection: Http1Connection) -> tuple[int, bytes]:
    head = await connection.read_head()
    return head.status, await connection.read_body()


class TestRequestInFlight:
    """It was routed by the older configuration, which decides about it until its end."""

    async def test_queued_request_is_served(self, testbed, change) -> None:
        for desk in testbed.desks:
            desk.fault = "hang"
        slots = sum(desk.slots for desk in testbed.desks)
        running = [
            await testbed.send(b"POST", b"/book/1", b"r%d" % number) for number in range(slots)
        ]
        await testbed.wait(
            lambda: sum(len(d.received_requests) for d in testbed.desks) == slots, "full desks"
        )
        queued = await testbed.send(b"POST", b"/book/1", b"queued")
        dispatcher = testbed.daemon._dispatcher
        await testbed.wait(lambda: dispatcher.waiting_count("desk") == 1, "queued request")
        await apply(testbed, change)
        for desk in testbed.desks:
            desk.fault = ""
        for connection in running:
            connection.close()
        assert (await read(queued))[0] == 200
        assert sum(desk.count_executions("queued") for desk in testbed.desks) == 1

    async def test_queued_request_without_capacity_is_refused_in_time(
        self, testbed, change
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "hang"
        slots = sum(desk.slots for desk in testbed.desks)
        running = [
            await testbed.send(b"POST", b"/book/1", b"r%d" % number) for number in range(slots)
        ]
        await testbed.wait(
            lambda: sum(len(d.received_requests) for d in testbed.desks) == slots, "full desks"
        )
        queued = await testbed.send(b"POST", b"/book/1", b"queued", deadline=b"1500")
        dispatcher = testbed.daemon._dispatcher
        await testbed.wait(lambda: dispatcher.waiting_count("desk") == 1, "queued request")
        await apply(testbed, change)
        assert (await read(queued))[0] == 503
        assert not sum(desk.count_executions("queued") for desk in testbed.desks)
        for connection in running:
            connection.close()

    @pytest.mark.parametrize("path", [b"/look/1", b"/book/1"])
    async def test_running_request_is_served(self, testbed, change, path: bytes) -> None:
        for desk in testbed.desks:
            desk.fault = "pause"
        connection = await testbed.send(b"POST", path)
        await testbed.wait(lambda: any(d.received_requests for d in testbed.desks), "execution")
        await apply(testbed, change)
        assert (await read(connection))[0] == 200

    @pytest.mark.parametrize("path", [b"/ask/1", b"/once/1"])
    async def test_stream_is_complete(self, testbed, change, path: bytes) -> None:
        for engine in testbed.engines:
            engine.event_interval_seconds = 0.1
        connection = await testbed.send(b"POST", path)
        await connection.read_head()
        await apply(testbed, change)
        assert await connection.read_body() == EVENT_STREAM


class TestRequestBeingRead:
    """It is routed once it is whole, by the configuration that is then in force."""

    HEAD = b"POST /book/1 HTTP/1.1\r\n" + b"".join(
        b"%s: %s\r\n" % header for header in caller_headers(b"a1")
    )
    REQUEST = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY

    @staticmethod
    async def exchange(
        testbed: RelayTestBed, parts: tuple[bytes, bytes], between: Callable
    ) -> tuple[int, bytes]:
        """Send the parts of a request; return its status, and all that follows its response."""
        host, _, port = testbed.daemon.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(parts[0])
            await testbed.wait(lambda: testbed.daemon._server.in_flight, "part of the request")
            await between()
            writer.write(parts[1])
            async with asyncio.timeout(5.0):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
                await reader.readexactly(length)
                writer.write_eof()
                return int(head.split()[1]), await reader.read()
        finally:
            writer.close()

    @pytest.mark.parametrize("cut", [30, len(HEAD), len(REQUEST) - 1])
    async def test_request_gets_one_response(self, testbed, change, cut: int) -> None:
        parts = self.REQUEST[:cut], self.REQUEST[cut:]
        status, rest = await self.exchange(testbed, parts, lambda: apply(testbed, change))
        # The header limit is checked once the head is whole, before the body limit.
        expected = 431 if change.status == 413 and cut <= len(self.HEAD) else change.status
        assert (status, rest) == (expected, b"")
        executed = sum(desk.count_executions("a1") for desk in testbed.desks)
        assert executed == (status == 200)


class TestKeptConnection:
    async def test_next_request_gets_one_response(self, testbed, change) -> None:
        connection = await testbed.send(b"POST", b"/book/1", b"first")
        assert (await read(connection))[0] == 200
        await connection.send(b"POST", b"/book/1", caller_headers(b"second"), b"")
        await apply(testbed, change)
        assert (await read(connection))[0] in (200, change.status)

    async def test_request_that_arrives_behind_another_one_gets_one_response(
        self, testbed, change
    ) -> None:
        """The second request is half there while the first one is served."""
        for desk in testbed.desks:
            desk.fault = "pause"
        request = TestRequestBeingRead.REQUEST
        second = request.replace(b"a1", b"a2")
        host, _, port = testbed.daemon.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request + second[: len(second) // 2])
        await testbed.wait(lambda: any(d.received_requests for d in testbed.desks), "execution")
        await apply(testbed, change)
        writer.write(second[len(second) // 2 :])
        statuses = []
        async with asyncio.timeout(5.0):
            for _ in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
                await reader.readexactly(length)
                statuses.append(int(head.split()[1]))
        writer.close()
        # The header limit is checked before the body limit.
        expected = 431 if change.status == 413 else change.slow_status or change.status
        assert statuses == [200, expected]
