"""HTTP/1.1 of the relay: exact about what was read, answered and cut."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

import pytest
from ragwortpaddle_standins.fleet import free_address
from ragwortpaddled.errors import NotSentError, ReplyLostError
from ragwortpaddled.transport import (
    CallerLimits,
    Http1Pool,
    Http1Server,
    Responder,
    ServerRequest,
)

LIMITS = CallerLimits(header_bytes=2048, body_bytes=1000, header_seconds=0.3, idle_seconds=0.5)
WAIT_SECONDS = 3.0


class Echo:
    """Answers by path, and notes what became of each request."""

    def __init__(self) -> None:
        self.seen: list[ServerRequest] = []
        self.cancelled = asyncio.Event()

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        self.seen.append(request)
        if request.target == b"/hang":
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        if request.target == b"/cut":
            await responder.start(200, [])
            await responder.write(b"half")
            raise ConnectionResetError("the endpoint failed")
        if request.target == b"/stream":
            await responder.start(200, [(b"X-Extra", b"yes")])
            for part in (b"one", b"two"):
                await responder.write(part)
            await responder.finish()
            return
        await responder.send(200, [], request.body)


@pytest.fixture
async def echo() -> Echo:
    return Echo()


@pytest.fixture
async def server(echo: Echo) -> AsyncIterator[tuple[Http1Server, str]]:
    server = Http1Server("127.0.0.1:0", echo.handle, lambda: LIMITS)
    await server.start()
    yield server, server.address
    server.stop_accepting()
    server.abort()


async def talk(address: str, data: bytes) -> bytes:
    """Send bytes and return all that comes until the end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            return await reader.read()
    finally:
        writer.close()


class TestServer:
    async def test_two_requests_on_one_connection(self, server, echo) -> None:
        _, address = server
        one = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
        answer = await talk(address, one + one)
        assert answer.count(b"HTTP/1.1 200") == 2
        assert [request.body for request in echo.seen] == [b"hi", b"hi"]

    async def test_chunked_body_is_read_whole(self, server, echo) -> None:
        _, address = server
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        await talk(address, head + b"2\r\nhi\r\n3\r\nyou\r\n0\r\n\r\n")
        assert echo.seen[0].body == b"hiyou"

    async def test_caller_that_leaves_cancels_the_handler(self, server, echo) -> None:
        _, address = server
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /hang HTTP/1.1\r\nHost: h\r\n\r\n")
        while not echo.seen:
            await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(WAIT_SECONDS):
            await echo.cancelled.wait()

    async def test_cut_stream_does_not_look_complete(self, server) -> None:
        _, address = server
        connection = await Http1Pool().take(address)
        await connection.send(b"GET", b"/cut", [(b"Host", b"h")], b"")
        with pytest.raises(ReplyLostError):
            await connection.read_head()
            while await connection.read_body() is not None:
                pass

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 4000 + b"\r\n\r\n", b"431"),
            (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000, b"413"),
            (b"GET / HTTP/1.1\r\nHost: h\r\n", b"408"),
            (b"not a request\r\n\r\n", b"400"),
        ],
    )
    async def test_limits(self, server, echo, data: bytes, status: bytes) -> None:
        _, address = server
        assert (await talk(address, data)).startswith(b"HTTP/1.1 " + status)
        assert not echo.seen

    async def test_idle_connection_is_closed_without_an_answer(self, server) -> None:
        _, address = server
        assert await talk(address, b"") == b""

    async def test_draining_says_that_the_connection_ends(self, server) -> None:
        daemon, address = server
        daemon.draining = True
        answer = await talk(address, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"connection: close" in answer.lower()


class TestClient:
    async def test_stream_and_reuse(self, server) -> None:
        _, address = server
        pool = Http1Pool()
        for _ in range(2):
            connection = await pool.take(address)
            await connection.send(b"GET", b"/stream", [(b"Host", b"h")], b"")
            head = await connection.read_head()
            assert head.header(b"x-extra") == b"yes"
            body = b""
            while (part := await connection.read_body()) is not None:
                body += part
            assert body == b"onetwo"
            pool.give_back(connection)
        assert pool.opened == 1

    async def test_refused_connection_was_not_sent(self) -> None:
        with pytest.raises(NotSentError):
            await Http1Pool().take(free_address())

    async def test_bytes_beyond_an_answer_discard_the_connection(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

        async def answer_twice(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await asyncio.sleep(0.05)
            writer.write(answer)

        listener = await asyncio.start_server(answer_twice, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        pool = Http1Pool()
        connection = await pool.take(address)
        await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        await connection.read_head()
        while await connection.read_body() is not None:
            pass
        pool.give_back(connection)
        await asyncio.sleep(0.2)
        assert await pool.take(address) is not connection
        listener.close()

    async def test_answer_without_length_needs_an_orderly_end(self) -> None:
        async def reset_midway(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            await writer.drain()
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)  # makes the close a reset
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        listener = await asyncio.start_server(reset_midway, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        connection = await Http1Pool().take(address)
        await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        await connection.read_head()
        with pytest.raises(ReplyLostError):
            while await connection.read_body() is not None:
                pass
        listener.close()
