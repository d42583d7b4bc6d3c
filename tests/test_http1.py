"""Tests the HTTP/1.1 server and client of the relay.

They guard against responses that look complete although they were cut off, handlers that run on
after their caller has disconnected, and reuse of connections that are out of step.
"""

import asyncio
import errno
import logging
import os
import random
import resource
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

import pytest
from endless_messages import EndlessServer
from ragwortpaddle_standins.fleet import free_address
from ragwortpaddled.errors import NotSentError, ReplyLostError, ReplyTimeoutError
from ragwortpaddled.transport import (
    CallerLimits,
    Http1Client,
    Http1Pool,
    Http1Server,
    Responder,
    ServerRequest,
    _byte_stream,
)

LIMITS = CallerLimits(
    max_header_bytes=2048,
    max_body_bytes=1000,
    header_timeout_seconds=0.3,
    idle_timeout_seconds=0.5,
)
TEST_TIMEOUT_SECONDS = 3.0

Handler = Callable[[ServerRequest, Responder], Coroutine[Any, Any, None]]


class RecordingHandler:
    """Responds as the request target says; records the requests and whether it was cancelled."""

    def __init__(self) -> None:
        self.requests: list[ServerRequest] = []
        self.cancelled = asyncio.Event()

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        self.requests.append(request)
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
        if request.target == b"/fill":
            await responder.start(200, [])
            while not responder._connection._stream.unsent_bytes:
                await responder.write(b"x" * 1000)
            await responder.finish()
            return
        if request.target == b"/stream":
            await responder.start(200, [(b"X-Extra", b"yes")])
            for part in (b"one", b"two"):
                await responder.write(part)
            await responder.finish()
            return
        await responder.send(200, [], request.body)


@pytest.fixture
async def handler() -> RecordingHandler:
    return RecordingHandler()


@pytest.fixture
async def server(handler: RecordingHandler) -> AsyncIterator[tuple[Http1Server, str]]:
    server = Http1Server("127.0.0.1:0", handler.handle, lambda: LIMITS)
    await server.start()
    yield server, server.address
    server.stop_accepting()
    server.abort()


StartServer = Callable[..., Awaitable[Http1Server]]


@pytest.fixture
async def start_server() -> AsyncIterator[StartServer]:
    """Return a function that starts a server, which is stopped at the end of the test."""
    http_servers: list[Http1Server] = []

    async def start(handler: Handler, limits=lambda: LIMITS) -> Http1Server:
        http_server = Http1Server("127.0.0.1:0", handler, limits)
        await http_server.start()
        http_servers.append(http_server)
        return http_server

    yield start
    for http_server in http_servers:
        http_server.stop_accepting()
        http_server.abort()


async def send_bytes(address: str, data: bytes) -> bytes:
    """Send bytes and return everything received until the server closes the connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            return await reader.read()
    finally:
        writer.close()


class TestServer:
    async def test_serves_two_requests_on_one_connection(self, server, handler) -> None:
        _, address = server
        request = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
        response = await send_bytes(address, request + request)
        assert response.count(b"HTTP/1.1 200") == 2
        assert [received.body for received in handler.requests] == [b"hi", b"hi"]

    async def test_reads_complete_chunked_body(self, server, handler) -> None:
        _, address = server
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        await send_bytes(address, head + b"2\r\nhi\r\n3\r\nyou\r\n0\r\n\r\n")
        assert handler.requests[0].body == b"hiyou"

    async def test_disconnect_of_the_caller_cancels_the_handler(self, server, handler) -> None:
        _, address = server
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /hang HTTP/1.1\r\nHost: h\r\n\r\n")
        while not handler.requests:
            await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await handler.cancelled.wait()

    async def test_response_cut_off_by_an_error_is_not_complete_for_the_client(
        self, server
    ) -> None:
        _, address = server
        connection = await Http1Pool().acquire(address)
        await connection.send(b"GET", b"/cut", [(b"Host", b"h")], b"")
        with pytest.raises(ReplyLostError):
            await connection.read_head()
            while await connection.read_body_part() is not None:
                pass

    async def test_response_cut_off_by_an_error_is_not_complete_for_an_old_client(
        self, server
    ) -> None:
        """To HTTP/1.0 the body has neither a length nor chunks and ends with the connection."""
        _, address = server
        with pytest.raises(ConnectionResetError):
            await send_bytes(address, b"GET /cut HTTP/1.0\r\nHost: h\r\n\r\n")

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 4000 + b"\r\n\r\n", b"431"),
            (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000, b"413"),
            (b"GET / HTTP/1.1\r\nHost: h\r\n", b"408"),
            (b"not a request\r\n\r\n", b"400"),
        ],
    )
    async def test_rejects_request_that_violates_limit_or_protocol(
        self, server, handler, data: bytes, status: bytes
    ) -> None:
        _, address = server
        assert (await send_bytes(address, data)).startswith(b"HTTP/1.1 " + status)
        assert not handler.requests

    async def test_idle_connection_is_closed_without_a_response(self, server) -> None:
        _, address = server
        assert await send_bytes(address, b"") == b""

    async def test_response_while_draining_has_connection_close(self, server) -> None:
        http_server, address = server
        http_server.draining = True
        response = await send_bytes(address, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"connection: close" in response.lower()


async def read_response(reader: asyncio.StreamReader) -> bytes:
    """Read one response with a Content-Length; raises ``IncompleteReadError`` if it is cut off."""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
        return head + await reader.readexactly(length)


class TestCloseAfterResponse:
    """A close that drops unsent bytes, or leaves bytes unread, destroys the response."""

    @pytest.mark.parametrize("closed_by", ["draining server", "caller"])
    async def test_response_to_a_slow_reader_is_complete(self, closed_by, start_server) -> None:
        handler = RecordingHandler()
        http_server = await start_server(handler.handle)
        http_server.draining = closed_by == "draining server"
        option = b"Connection: close\r\n" if closed_by == "caller" else b""
        host, _, port = http_server.address.rpartition(":")
        # Without a reader, so that nothing is read before the whole response has been written.
        connection = socket.create_connection((host, int(port)))
        connection.sendall(b"GET /fill HTTP/1.1\r\nHost: h\r\n" + option + b"\r\n")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not handler.requests:  # it responds without a pause
                await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(sock=connection)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert (await reader.read()).endswith(b"x\r\n0\r\n\r\n")
        writer.close()

    async def test_rejection_reaches_a_caller_that_is_still_sending(self, server) -> None:
        """The rest of the body is still arriving when the server has rejected the request."""
        _, address = server
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n")
        for _ in range(90):
            writer.write(b"x" * 100_000)
            await writer.drain()
            await asyncio.sleep(0.001)
        assert (await read_response(reader)).startswith(b"HTTP/1.1 413")
        writer.close()

    async def test_response_reaches_a_caller_that_sends_on_after_it(self, server) -> None:
        http_server, address = server
        http_server.draining = True
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        writer.write(request * 2)
        await read_response(reader)
        writer.write(request)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert await reader.read() == b""  # an end, not a reset
        writer.close()

    async def test_caller_that_never_closes_does_not_keep_the_connection(self, server) -> None:
        http_server, address = server
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"not a request\r\n\r\n")
        await read_response(reader)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while http_server._task_by_connection:
                await asyncio.sleep(0.01)
        writer.close()


class TestResponsesWithoutBody:
    """h11 refuses to send a body after HEAD or with 204 and 304; the caller was reset instead."""

    @pytest.mark.parametrize(
        ("method", "status"),
        [(b"HEAD", 503), (b"HEAD", 200), (b"GET", 204), (b"GET", 304), (b"HEAD", 204)],
    )
    async def test_response_is_complete_and_the_connection_kept(
        self, method, status, start_server
    ) -> None:
        async def respond(request: ServerRequest, responder: Responder) -> None:
            await responder.send(status, [(b"X-Extra", b"yes")], b"reason")

        http_server = await start_server(respond)
        host, _, port = http_server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(2):
            writer.write(method + b" / HTTP/1.1\r\nHost: h\r\n\r\n")
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 %d" % status)
            assert b"x-extra: yes" in head.lower()
        writer.close()

    async def test_rejected_head_request_gets_its_status(self, server) -> None:
        _, address = server
        request = b"HEAD / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000
        response = await send_bytes(address, request)
        assert response.startswith(b"HTTP/1.1 413")
        assert response.endswith(b"\r\n\r\n")

    async def test_connect_is_rejected(self, server, handler) -> None:
        _, address = server
        response = await send_bytes(address, b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 501")
        assert not handler.requests

    async def test_proposed_upgrade_is_answered_and_the_connection_kept(self, server) -> None:
        _, address = server
        request = b"GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n"
        response = await send_bytes(address, request + request)
        assert response.count(b"HTTP/1.1 200") == 2


class TestHeaderLimit:
    """The limit of the configuration in force counts, however the head arrives."""

    @staticmethod
    async def send_in_parts(http_server: Http1Server, *parts: bytes, between=lambda: None) -> bytes:
        """Send each part after the server has parsed what came before it."""
        host, _, port = http_server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent_bytes = 0

        def parsed(connection) -> bool:
            return len(connection._http.trailing_data[0]) >= sent_bytes or connection._closing

        try:
            for part in parts:
                writer.write(part)
                sent_bytes += len(part)
                async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                    while part != parts[-1] and not any(
                        parsed(connection) for connection in http_server._task_by_connection
                    ):
                        await asyncio.sleep(0.01)
                between()
            return await read_response(reader)
        finally:
            writer.close()

    async def test_raised_limit_applies_to_an_open_connection(self, handler, start_server) -> None:
        """A request that the new configuration allows got 431 on a connection opened before."""
        limits = CallerLimits(max_header_bytes=1000)
        http_server = await start_server(handler.handle, lambda: limits)

        def raise_limit() -> None:
            nonlocal limits
            limits = CallerLimits(max_header_bytes=8000)

        head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 6000
        parts = [head[:100], head[100:], b"\r\n\r\n"]
        response = await self.send_in_parts(http_server, *parts, between=raise_limit)
        assert response.startswith(b"HTTP/1.1 200")

    async def test_head_within_the_limit_is_accepted_in_parts(self, server) -> None:
        """Separators counted as headers if the head did not arrive at once."""
        http_server, _ = server
        count = LIMITS.max_header_bytes // 24
        headers = b"".join(b"X-Name-%03d: 0123456789\r\n" % number for number in range(count))
        head = b"GET / HTTP/1.1\r\nHost: h\r\n" + headers
        assert len(head) > LIMITS.max_header_bytes
        response = await self.send_in_parts(http_server, head, b"\r\n")
        assert response.startswith(b"HTTP/1.1 200")

    async def test_head_without_end_is_rejected(self, server, handler) -> None:
        _, address = server
        head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2 * LIMITS.max_header_bytes
        assert (await send_bytes(address, head)).startswith(b"HTTP/1.1 431")
        assert not handler.requests


def pause_process(seconds: float) -> None:
    """Block the event loop, as a pause of the process does."""
    time.sleep(seconds)


class TestTimeoutBesideArrival:
    """A timer that fires beside an arriving request must not close the connection."""

    REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

    async def connect(self, http_server: Http1Server) -> socket.socket:
        host, _, port = http_server.address.rpartition(":")
        connection = socket.create_connection((host, int(port)))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not http_server._task_by_connection:
                await asyncio.sleep(0.01)
        return connection

    async def read_all(self, connection: socket.socket) -> bytes:
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            return await read_response(reader)
        finally:
            writer.close()

    async def test_request_that_arrived_while_the_process_was_paused_is_answered(
        self, server
    ) -> None:
        http_server, _ = server
        connection = await self.connect(http_server)
        connection.sendall(self.REQUEST)
        pause_process(LIMITS.idle_timeout_seconds * 1.2)
        assert (await self.read_all(connection)).endswith(b"hi")

    async def test_request_completed_while_the_process_was_paused_is_answered(self, server) -> None:
        http_server, _ = server
        connection = await self.connect(http_server)
        connection.sendall(self.REQUEST[:-1])
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not http_server.in_flight:
                await asyncio.sleep(0.01)
        connection.sendall(self.REQUEST[-1:])
        pause_process(LIMITS.header_timeout_seconds * 1.2)
        assert (await self.read_all(connection)).startswith(b"HTTP/1.1 200")

    async def test_raised_idle_timeout_applies_to_an_idle_connection(
        self, handler, start_server
    ) -> None:
        limits = CallerLimits(idle_timeout_seconds=0.3)
        http_server = await start_server(handler.handle, lambda: limits)
        connection = await self.connect(http_server)
        (connection_task,) = http_server._task_by_connection.values()
        limits = CallerLimits(idle_timeout_seconds=TEST_TIMEOUT_SECONDS)
        await asyncio.wait([connection_task], timeout=0.6)  # twice the limit at the start
        connection.sendall(self.REQUEST)
        assert (await self.read_all(connection)).endswith(b"hi")

    async def test_bytes_of_a_slow_sender_do_not_extend_the_header_timeout(self, server) -> None:
        http_server, _ = server
        connection = await self.connect(http_server)
        reader, writer = await asyncio.open_connection(sock=connection)
        sent_at = time.monotonic()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nX: ")
        response = asyncio.create_task(read_response(reader))
        while not response.done() and time.monotonic() < sent_at + TEST_TIMEOUT_SECONDS:
            writer.write(b"x")
            await asyncio.wait([response], timeout=0.02)
        assert (await response).startswith(b"HTTP/1.1 408")
        writer.close()


class TestEndLog:
    """A connection that the daemon ended must not look like one that its caller closed."""

    @pytest.fixture(autouse=True)
    def capture(self, caplog) -> None:
        caplog.set_level(logging.INFO, "ragwortpaddled")

    @pytest.fixture
    async def server(self, handler: RecordingHandler) -> AsyncIterator[Http1Server]:
        def get_request_id(headers) -> str:
            return dict(headers).get(b"X-Id", b"-").decode()

        http_server = Http1Server("127.0.0.1:0", handler.handle, lambda: LIMITS, get_request_id)
        await http_server.start()
        yield http_server
        http_server.stop_accepting()
        http_server.abort()

    async def start_request(
        self, http_server: Http1Server, handler: RecordingHandler, target: bytes
    ) -> socket.socket:
        host, _, port = http_server.address.rpartition(":")
        connection = socket.create_connection((host, int(port)))
        connection.sendall(b"GET " + target + b" HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not handler.requests:
                await asyncio.sleep(0.01)
        return connection

    async def read_end(self, http_server: Http1Server, caplog) -> tuple[str, dict]:
        """Wait for the end of all connections; return the message and fields of the only line."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while http_server._task_by_connection:
                await asyncio.sleep(0.01)
        (record,) = caplog.records
        assert record.request_id == "r1"
        assert record.fields["ms"] >= 0
        return record.getMessage(), record.fields

    async def test_caller_that_closes_its_sending_side(self, server, handler, caplog) -> None:
        connection = await self.start_request(server, handler, b"/hang")
        connection.shutdown(socket.SHUT_WR)
        message, fields = await self.read_end(server, caplog)
        assert message == "caller disconnected"
        assert fields["ended_by"] == "caller"
        assert fields["reason"] == "the caller closed its sending side"
        assert fields["response"] == "not started"
        connection.close()

    async def test_caller_that_resets(self, server, handler, caplog) -> None:
        connection = await self.start_request(server, handler, b"/hang")
        linger = struct.pack("ii", 1, 0)  # zero linger time: close() sends a reset
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
        message, fields = await self.read_end(server, caplog)
        assert message == "caller disconnected"
        assert (fields["ended_by"], fields["reason"]) == (
            "caller",
            "the caller reset the connection",
        )

    async def test_vm_of_the_caller_that_does_not_respond(self, server, handler, caplog) -> None:
        connection = await self.start_request(server, handler, b"/hang")
        (server_connection,) = server._task_by_connection
        timeout = TimeoutError(errno.ETIMEDOUT, "Connection timed out")
        server_connection._stream._transport._force_close(timeout)  # as after TCP_USER_TIMEOUT
        message, fields = await self.read_end(server, caplog)
        assert message == "caller disconnected"
        assert (fields["ended_by"], fields["reason"]) == (
            "network",
            "no response from the caller's VM",
        )
        connection.close()

    async def test_server_that_is_stopped(self, server, handler, caplog) -> None:
        connection = await self.start_request(server, handler, b"/hang")
        server.abort("end of the grace period")
        message, fields = await self.read_end(server, caplog)
        assert message == "response aborted"
        assert (fields["ended_by"], fields["reason"]) == ("daemon", "end of the grace period")
        connection.close()

    async def test_complete_response_that_its_caller_has_not_read(
        self, server, handler, caplog
    ) -> None:
        server.draining = True
        connection = await self.start_request(server, handler, b"/fill")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not any(connection._closing for connection in server._task_by_connection):
                await asyncio.sleep(0.01)
        assert server.in_flight == 1
        server.abort("end of the grace period")
        message, fields = await self.read_end(server, caplog)
        assert (message, fields["response"]) == ("response aborted", "written")
        connection.close()

    async def test_response_that_the_system_has_taken_is_not_logged_as_aborted(
        self, server, handler, caplog
    ) -> None:
        """The server stops in the loop turn in which the handler has written its response."""

        async def respond_and_stop(request: ServerRequest, responder: Responder) -> None:
            await responder.send(200, [], b"whole")
            server.abort("the daemon has stopped")

        server.handler = respond_and_stop
        request = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        assert (await send_bytes(server.address, request)).endswith(b"whole")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while server._task_by_connection:
                await asyncio.sleep(0.01)
        assert not caplog.records

    async def test_complete_response_that_its_caller_never_reads(
        self, server, handler, caplog
    ) -> None:
        """The connection was to be closed, and nothing could be sent for the idle time-out."""
        server.draining = True
        connection = await self.start_request(server, handler, b"/fill")
        message, fields = await self.read_end(server, caplog)
        assert (message, fields["ended_by"]) == ("response aborted", "daemon")
        assert fields["reason"] == "the caller did not read the response in time"
        assert fields["response"] == "written"
        connection.close()

    async def test_response_that_its_handler_breaks_off(self, server, handler, caplog) -> None:
        connection = await self.start_request(server, handler, b"/cut")
        message, fields = await self.read_end(server, caplog)
        assert message == "response aborted"
        assert (fields["ended_by"], fields["reason"]) == ("daemon", "the endpoint failed")
        assert fields["response"] == "started"
        assert fields["written_bytes"] > len("half")
        connection.close()

    async def test_request_that_has_arrived_in_part(self, server, caplog) -> None:
        host, _, port = server.address.rpartition(":")
        connection = socket.create_connection((host, int(port)))
        connection.sendall(b"POST /a HTTP/1.1\r\nX-Id: r1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not server.in_flight:
                await asyncio.sleep(0.01)
        server.abort("end of the grace period")
        message, fields = await self.read_end(server, caplog)
        assert (message, fields["response"]) == ("response aborted", "not started")
        connection.close()

    async def test_complete_response_logs_nothing(self, server, handler, caplog) -> None:
        connection = await self.start_request(server, handler, b"/a")
        reader, writer = await asyncio.open_connection(sock=connection)
        await read_response(reader)
        writer.close()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while server._task_by_connection:
                await asyncio.sleep(0.01)
        assert not caplog.records

    async def test_request_of_a_caller_that_has_already_closed_is_not_run(
        self, server, handler, caplog
    ) -> None:
        """Both arrive in one loop turn, as after a pause of the process."""
        host, _, port = server.address.rpartition(":")
        connection = socket.create_connection((host, int(port)))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not server._task_by_connection:
                await asyncio.sleep(0.01)
        connection.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n")
        connection.close()
        message, _ = await self.read_end(server, caplog)
        assert message == "caller disconnected"
        assert not handler.requests


class TestHandlerErrors:
    """An error that no code expects must not end a request without an answer."""

    @pytest.mark.parametrize("error", [ValueError("port"), TimeoutError(), OverflowError()])
    @pytest.mark.parametrize("method", [b"GET", b"HEAD"])
    async def test_error_before_the_response_gives_500(
        self, error, method, caplog, start_server
    ) -> None:
        async def fail(request: ServerRequest, responder: Responder) -> None:
            raise error

        http_server = await start_server(fail)
        response = await send_bytes(http_server.address, method + b" / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 500")
        assert b"connection: close" in response.lower()
        (record,) = caplog.records
        assert record.exc_info[1] is error

    async def test_cancellation_that_is_not_the_callers_gives_500(self, start_server) -> None:
        async def fail(request: ServerRequest, responder: Responder) -> None:
            future = asyncio.get_running_loop().create_future()
            future.cancel()
            await future

        http_server = await start_server(fail)
        response = await send_bytes(http_server.address, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 500")

    async def test_header_that_cannot_be_sent_gives_the_failure_status(self, start_server) -> None:
        async def respond(request: ServerRequest, responder: Responder) -> None:
            responder.failure_status = 502
            await responder.send(200, [(b"X-Bad", b"a\r\nb")], b"body")

        http_server = await start_server(respond)
        response = await send_bytes(http_server.address, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 502")

    async def test_error_within_a_response_cuts_it_off(self, start_server) -> None:
        async def fail(request: ServerRequest, responder: Responder) -> None:
            await responder.start(200, [])
            await responder.write(b"half")
            raise ValueError("port")

        http_server = await start_server(fail)
        connection = await Http1Pool().acquire(http_server.address)
        await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        await connection.read_head()
        with pytest.raises(ReplyLostError):
            await connection.read_body()


class TestOddRequests:
    """Bytes of callers that are no proper request are answered, or the connection is closed."""

    REQUEST = (
        b"POST /a?x=%20 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nExpect: 100-continue\r\n"
        b"Content-Length: 12\r\n\r\nhello, world"
    )
    PIECES = (
        b"\r\n", b"\0", b"\xff\xfe", b" ", b":", b"HTTP/1.0", b"HTTP/2.0", b"HEAD", b"CONNECT h:1",
        b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: x\r\n",
        b"Connection: close\r\n", b"Upgrade: x\r\n", b"http://[::1", b"9" * 5000, b"-1",
    )  # fmt: skip

    async def test_content_length_with_thousands_of_digits_gives_400(
        self, handler, start_server
    ) -> None:
        http_server = await start_server(handler.handle, CallerLimits)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n"
        assert (await send_bytes(http_server.address, head)).startswith(b"HTTP/1.1 400")

    @pytest.mark.parametrize("seed", range(4))
    async def test_no_error_of_the_server_itself(self, handler, caplog, seed, start_server) -> None:
        random_source = random.Random(seed)
        limits = CallerLimits(header_timeout_seconds=0.2, idle_timeout_seconds=0.2)
        http_server = await start_server(handler.handle, lambda: limits)

        async def send_mutant() -> tuple[bytes, bytes]:
            data = self.REQUEST
            for _ in range(random_source.randint(1, 3)):
                first = random_source.randrange(len(data))
                end = first + random_source.choice((0, 0, 1, 10))
                data = data[:first] + random_source.choice(self.PIECES) + data[end:]
            return data, await send_bytes(http_server.address, data)

        for data, response in await asyncio.gather(*(send_mutant() for _ in range(100))):
            assert response.startswith(b"HTTP/1.1 "), data
        assert not [record for record in caplog.records if record.levelno >= logging.ERROR]
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while http_server._task_by_connection:
                await asyncio.sleep(0.01)


class TestAcceptedConnections:
    """A connection that the system has established is served or ends; it never stays silent."""

    REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

    async def test_connection_waits_while_file_descriptors_are_exhausted(
        self, server, caplog
    ) -> None:
        http_server, address = server
        host, _, port = address.rpartition(":")
        connection = socket.socket()
        next_descriptor = os.dup(connection.fileno())
        os.close(next_descriptor)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (next_descriptor, hard))
        try:
            connection.connect((host, int(port)))
            connection.sendall(self.REQUEST)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while not any("accept" in record.getMessage() for record in caplog.records):
                    await asyncio.sleep(0.01)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert not http_server.open_connections
        reader, writer = await asyncio.open_connection(sock=connection)
        assert (await read_response(reader)).startswith(b"HTTP/1.1 200")
        writer.close()

    async def test_connection_whose_options_cannot_be_set_is_served(
        self, server, caplog, monkeypatch
    ) -> None:
        """It stayed open without a task that reads from it."""

        def fail(connection: socket.socket) -> None:
            raise OSError(errno.EINVAL, "injected fault")

        monkeypatch.setattr(_byte_stream, "set_options", fail)
        _, address = server
        request = self.REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        assert (await send_bytes(address, request)).startswith(b"HTTP/1.1 200")
        assert "socket options not set" in caplog.messages


class TestPlannedStop:
    """Under load, requests arrive while the server stops accepting connections."""

    REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

    @staticmethod
    async def connect(http_server: Http1Server, address: str):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not http_server._task_by_connection:
                await asyncio.sleep(0.01)
        (connection,) = http_server._task_by_connection
        await asyncio.sleep(0.02)
        return reader, writer, connection

    async def test_request_that_has_just_arrived_is_answered(self, server, handler) -> None:
        """Its bytes are in the buffer, but the connection's task has not run since."""
        http_server, address = server
        reader, _, connection = await self.connect(http_server, address)
        connection._stream.data_received(self.REQUEST)
        http_server.draining = True
        http_server.stop_accepting()
        assert http_server.in_flight == 1
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert (await reader.read()).endswith(b"hi")
        assert [request.body for request in handler.requests] == [b"hi"]

    async def test_request_that_is_still_arriving_is_answered(self, server) -> None:
        http_server, address = server
        reader, writer, _ = await self.connect(http_server, address)
        writer.write(self.REQUEST[:-1])
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not http_server.in_flight:
                await asyncio.sleep(0.01)
        http_server.draining = True
        http_server.stop_accepting()
        writer.write(self.REQUEST[-1:])
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert (await reader.read()).endswith(b"hi")
        assert http_server.in_flight == 0

    async def test_request_after_a_response_without_connection_close_is_answered(
        self, start_server
    ) -> None:
        """The response had started before the stop, so its caller expects an open connection."""

        async def respond(request: ServerRequest, responder: Responder) -> None:
            await responder.start(200, [(b"Content-Length", b"2")])
            http_server.draining = True
            http_server.stop_accepting()
            await responder.write(b"hi")
            await responder.finish()

        http_server = await start_server(respond)
        reader, writer, _ = await self.connect(http_server, http_server.address)
        writer.write(self.REQUEST)
        assert b"connection: close" not in (await read_response(reader)).lower()
        writer.write(self.REQUEST)
        assert b"connection: close" in (await read_response(reader)).lower()
        assert http_server.in_flight == 0
        writer.close()

    async def test_request_that_never_arrives_whole_gets_503_at_the_end(self, server) -> None:
        http_server, address = server
        reader, writer, _ = await self.connect(http_server, address)
        writer.write(self.REQUEST[:-1])
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not http_server.in_flight:
                await asyncio.sleep(0.01)
        http_server.draining = True
        http_server.stop_accepting()
        http_server.refuse_partial_requests()
        assert (await read_response(reader)).startswith(b"HTTP/1.1 503")
        writer.close()

    async def test_request_that_only_the_system_has_received_is_answered(self, server) -> None:
        """The server stopped before the loop had read its bytes, and reset the connection."""
        http_server, address = server
        reader, writer, _ = await self.connect(http_server, address)
        http_server.draining = True
        writer.get_extra_info("socket")._sock.send(self.REQUEST)
        http_server.stop_accepting()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert (await reader.read()).endswith(b"hi")

    async def test_request_in_the_accept_queue_is_answered(self, server, handler) -> None:
        """The system had established its connection; closing the listener reset it."""
        http_server, address = server
        host, _, port = address.rpartition(":")
        connections = [socket.create_connection((host, int(port))) for _ in range(3)]
        for connection in connections:
            connection.sendall(self.REQUEST)
        assert not http_server.open_connections
        http_server.draining = True
        http_server.stop_accepting()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while http_server.in_flight:
                await asyncio.sleep(0)
        assert len(handler.requests) == len(connections)
        for connection in connections:
            reader, writer = await asyncio.open_connection(sock=connection)
            assert (await read_response(reader)).endswith(b"hi")
            writer.close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))

    async def test_abort_ends_connections_from_the_accept_queue(self, server, handler) -> None:
        http_server, address = server
        host, _, port = address.rpartition(":")
        connection = socket.create_connection((host, int(port)))
        connection.sendall(self.REQUEST)
        http_server.stop_accepting()
        http_server.abort()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while http_server.in_flight or http_server.open_connections:
                await asyncio.sleep(0)
        assert not handler.requests
        with pytest.raises(ConnectionResetError):
            connection.recv(1)
        connection.close()

    async def test_idle_connection_is_closed(self, server) -> None:
        http_server, address = server
        reader, writer, _ = await self.connect(http_server, address)
        writer.write(self.REQUEST)
        await reader.readuntil(b"hi")
        http_server.stop_accepting()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert await reader.read() == b""


class TestClient:
    async def test_reads_streamed_responses_over_one_reused_connection(self, server) -> None:
        _, address = server
        pool = Http1Pool()
        for _ in range(2):
            connection = await pool.acquire(address)
            await connection.send(b"GET", b"/stream", [(b"Host", b"h")], b"")
            head = await connection.read_head()
            assert head.header(b"x-extra") == b"yes"
            body = b""
            while (part := await connection.read_body_part()) is not None:
                body += part
            assert body == b"onetwo"
            pool.release(connection)
        assert pool.opened_count == 1

    async def test_refused_connection_raises_not_sent_error(self) -> None:
        with pytest.raises(NotSentError):
            await Http1Pool().acquire(free_address())

    async def test_connection_with_bytes_after_the_response_is_not_reused(self) -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

        async def respond_twice(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await asyncio.sleep(0.05)
            writer.write(response)

        listener = await asyncio.start_server(respond_twice, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        pool = Http1Pool()
        connection = await pool.acquire(address)
        await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        await connection.read_head()
        while await connection.read_body_part() is not None:
            pass
        pool.release(connection)
        await asyncio.sleep(0.2)
        assert await pool.acquire(address) is not connection
        listener.close()

    async def test_reset_in_a_response_without_length_raises_reply_lost_error(self) -> None:
        async def reset_within_body(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            await writer.drain()
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)  # zero linger time: abort() sends a reset
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        listener = await asyncio.start_server(reset_within_body, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        connection = await Http1Pool().acquire(address)
        await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        await connection.read_head()
        with pytest.raises(ReplyLostError):
            while await connection.read_body_part() is not None:
                pass
        listener.close()


class TestOddReplies:
    async def test_content_length_with_thousands_of_digits_is_a_lost_reply(self) -> None:
        async def respond(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n")

        listener = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        with pytest.raises(ReplyLostError):
            await Http1Client().exchange("GET", f"http://{address}/", timeout_seconds=1.0)
        listener.close()


class TestEndlessReplies:
    """A faulty server sends bytes that are no answer until its client closes the connection."""

    @pytest.mark.parametrize(
        ("head", "repeated"),
        [
            (b"HTTP/1.1 200 OK\r\n", b"X-Filler: " + b"a" * 1000 + b"\r\n"),
            (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
            (b"", b"no status line, no end " * 40),
            (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 65536),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"a" * 65536),
        ],
        ids=["header", "interim", "no-http", "body", "no-chunks"],
    )
    async def test_reply_is_lost_and_the_connection_dropped(self, head, repeated) -> None:
        server = EndlessServer(head, repeated)
        address = await server.start()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            with pytest.raises(ReplyLostError) as lost:
                await Http1Client().exchange("GET", f"http://{address}/", timeout_seconds=20.0)
            assert not isinstance(lost.value, ReplyTimeoutError)
            await server.disconnected.wait()

    async def test_slow_bytes_without_end_time_out(self) -> None:
        server = EndlessServer(b"HTTP/1.1 200 OK\r\n\r\n", b"a", pause_seconds=0.02)
        address = await server.start()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            with pytest.raises(ReplyTimeoutError):
                await Http1Client().exchange("GET", f"http://{address}/", timeout_seconds=0.3)
            await server.disconnected.wait()
