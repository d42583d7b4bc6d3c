"""Endpoints that repeat a refusal, fail after a broken stream, or close within a head."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from ragwortpaddle_standins.relay_platform import EVENT_STREAM
from ragwortpaddled.errors import ReplyLostError
from ragwortpaddled.transport import Http1Client, HttpClient
from relay_fleet import RelayTestBed

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: seal\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n"
)
TIMEOUT_SECONDS = 3.0


@pytest.fixture
async def testbed(tmp_path) -> AsyncIterator[RelayTestBed]:
    async with RelayTestBed(tmp_path) as testbed:
        yield testbed


class TestRefusalOfAnotherAttempt:
    @pytest.mark.parametrize("path", [b"/look/1", b"/book/1"])
    async def test_request_that_ran_is_not_reported_as_not_run(
        self, testbed: RelayTestBed, path: bytes
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "crossed refusal"
        head, _ = await testbed.ask(b"POST", path)
        assert head.status == 502

    async def test_operation_does_not_run_twice(self, testbed: RelayTestBed) -> None:
        for desk in testbed.desks:
            desk.fault = "crossed refusal"
        await testbed.ask(b"POST", b"/book/1")
        assert sum(desk.count_executions("a1") for desk in testbed.desks) == 1


class TestErrorAfterBrokenStream:
    @pytest.mark.parametrize("fault", ["error", "refusal", "missing"])
    async def test_error_of_the_next_engine_is_not_part_of_the_stream(
        self, testbed: RelayTestBed, fault: str
    ) -> None:
        for engine in testbed.engines:
            engine.fault = "torn"
        connection = await testbed.send(b"POST", b"/ask/1")
        assert (await connection.read_head()).status == 200
        for engine in testbed.engines:
            engine.fault = fault if engine.running == 0 else engine.fault
        body = b""
        with pytest.raises(ReplyLostError):
            while (data := await connection.read_body_part()) is not None:
                body += data
        assert EVENT_STREAM.startswith(body)
        assert b"failed" not in body


class _ClosingProtocol(asyncio.Protocol):
    """Answers the first bytes of a connection with given bytes and closes it."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(self._data)
        self._transport.close()


class ClosingServer:
    """Sends bytes to every caller and closes the connection."""

    def __init__(self, data: bytes) -> None:
        self.address = ""
        self._data = data

    async def __aenter__(self) -> "ClosingServer":
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ClosingProtocol(self._data), "127.0.0.1", 0
        )
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        await self._server.wait_closed()


class TestTruncatedHead:
    async def test_response_that_ends_within_its_head_is_lost(self) -> None:
        """Cut at every byte, for the clients of both interfaces."""
        clients = (Http1Client(), HttpClient())
        for length in range(len(HEAD)):
            async with ClosingServer(HEAD[:length]) as server:
                for client in clients:
                    with pytest.raises(ReplyLostError):
                        await client.exchange(
                            "GET", f"http://{server.address}/", timeout_seconds=TIMEOUT_SECONDS
                        )
        clients[0].close()
        await clients[1].close()

    @pytest.mark.parametrize("length", [12, 60, len(HEAD) - 22, len(HEAD) - 2])
    async def test_caller_gets_no_success(self, testbed: RelayTestBed, length: int) -> None:
        async with ClosingServer(HEAD[:length]) as server:
            for desk in testbed.desks:
                desk.public_address = server.address
                desk.register()
            await asyncio.sleep(0.3)
            head, body = await testbed.ask(b"POST", b"/book/1")
        assert head.status == 502
        assert b"X-" not in body
