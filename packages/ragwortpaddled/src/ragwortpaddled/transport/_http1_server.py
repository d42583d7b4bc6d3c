"""HTTP/1.1 towards callers of the relay: exact about what was read, answered and cut.

The caller's leaving cancels the handler at once. A response that cannot be finished ends with a
reset, so that it never looks complete.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import h11

from ragwortpaddled.transport._byte_stream import ByteStream
from ragwortpaddled.transport._http1_client import RawHeaders
from ragwortpaddled.transport._http_client import first_value

BACKLOG = 1024  # connections of one burst; the kernel caps it further

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """One request, read whole."""

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return first_value(self.headers, name)


class _RefusedInputError(Exception):
    """A request breaks a limit or the protocol."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: "_ServerConnection") -> None:
        self.started = False
        self._connection = connection

    async def send(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a whole response."""
        kept = [(k, v) for k, v in headers if k.lower() != b"content-length"]
        kept.append((b"Content-Length", str(len(body)).encode()))
        await self.start(status, kept)
        await self.write(body)
        await self.finish()

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head; without a length the body goes in chunks."""
        self.started = True
        await self._connection.send(
            h11.Response(status_code=status, headers=self._connection.closing_headers(headers))
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the body."""
        await self._connection.send(h11.EndOfMessage())


Handler = Callable[[ServerRequest, Responder], Coroutine[Any, Any, None]]


class _ServerConnection:
    """One caller's connection."""

    def __init__(self, server: "Http1Server", stream: ByteStream) -> None:
        self.idle = True
        self._server = server
        self._stream = stream
        limit = server.limits().header_bytes
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def closing_headers(self, headers: RawHeaders) -> RawHeaders:
        """Add the word that no further request will be taken, where that is so."""
        if self._server.draining:
            return [*headers, (b"Connection", b"close")]
        return headers

    async def send(self, event: h11.Event) -> None:
        await self._stream.write(self._http.send(event) or b"")

    def close(self) -> None:
        self._stream.close()

    def abort(self) -> None:
        self._stream.abort()

    async def run(self) -> None:
        try:
            while await self._serve_one():
                pass
            self._stream.close()
        except _RefusedInputError as refusal:
            await self._refuse(refusal)
        except (OSError, h11.ProtocolError):
            self._stream.abort()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection can carry another."""
        request = await self._read_request()
        if request is None:
            return False
        self.idle = False
        self._server.in_flight += 1
        handling = asyncio.create_task(self._server.handler(request, Responder(self)))
        self._stream.on_end = handling.cancel
        try:
            await handling
        except asyncio.CancelledError:
            if not self._stream.ended:
                raise
            self._stream.abort()
            return False
        finally:
            self._stream.on_end = None
            self._server.in_flight -= 1
            self.idle = True
        if self._http.our_state is not h11.DONE:
            self._stream.abort()
            return False
        if self._server.draining or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def _read_request(self) -> ServerRequest | None:
        limits = self._server.limits()
        try:
            async with asyncio.timeout(limits.idle_seconds):
                event = await self._first_event()
            if event is None:
                return None
            async with asyncio.timeout(limits.header_seconds):
                return await self._read_head_and_body(event, limits)
        except TimeoutError:
            if self._http.their_state is h11.IDLE and not self._http.trailing_data[0]:
                return None
            raise _RefusedInputError(408, "the request took too long to arrive") from None

    async def _first_event(self) -> object | None:
        """Return the first event of a request, or that bytes have begun to arrive."""
        event = self._next_event()
        while event is h11.NEED_DATA:
            data = await self._stream.read()
            self._receive(data)
            event = self._next_event()
            if event is h11.NEED_DATA and data:
                return event
        return None if isinstance(event, h11.ConnectionClosed) else event

    async def _read_head_and_body(
        self, event: object, limits: CallerLimits
    ) -> ServerRequest | None:
        while not isinstance(event, h11.Request):
            if isinstance(event, h11.ConnectionClosed):
                return None
            event = await self._next_whole_event()
        head_bytes = sum(len(name) + len(value) for name, value in event.headers.raw_items())
        if head_bytes + len(event.target) > limits.header_bytes:
            raise _RefusedInputError(431, f"the head exceeds {limits.header_bytes} bytes")
        if self._http.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        while not isinstance(part := await self._next_whole_event(), h11.EndOfMessage):
            if isinstance(part, h11.ConnectionClosed):
                return None
            assert isinstance(part, h11.Data)
            body += part.data
            if len(body) > limits.body_bytes:
                raise _RefusedInputError(413, f"the body exceeds {limits.body_bytes} bytes")
        return ServerRequest(
            event.method, event.target, list(event.headers.raw_items()), bytes(body)
        )

    async def _next_whole_event(self) -> object:
        while (event := self._next_event()) is h11.NEED_DATA:
            self._receive(await self._stream.read())
        return event

    def _next_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise _RefusedInputError(error.error_status_hint, str(error)) from error

    def _receive(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise _RefusedInputError(error.error_status_hint, str(error)) from error

    async def _refuse(self, refusal: _RefusedInputError) -> None:
        logger.info("refused input: %s", refusal, extra={"status": refusal.status})
        body = str(refusal).encode()
        headers = [(b"Content-Length", str(len(body)).encode()), (b"Connection", b"close")]
        try:
            await self.send(h11.Response(status_code=refusal.status, headers=headers))
            await self.send(h11.Data(data=body))
            await self.send(h11.EndOfMessage())
        except (OSError, h11.ProtocolError):
            self._stream.abort()
            return
        self._stream.close()


class Http1Server:
    """A listener whose handler answers one request at a time on each connection."""

    def __init__(
        self, listen: str, handler: Handler, limits: Callable[[], CallerLimits] = CallerLimits
    ) -> None:
        self.draining = False
        self.in_flight = 0
        self.handler = handler
        self.limits = limits
        self.address = listen
        self._server: asyncio.Server | None = None
        self._task_by_connection: dict[_ServerConnection, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start listening; raises ``OSError`` if the address cannot be bound.

        Port 0 lets the system choose; ``address`` then names the port that it chose.
        """
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ByteStream(self._accept), host, int(port), backlog=BACKLOG, reuse_address=True
        )
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def stop_accepting(self) -> None:
        """Close the listener and the idle connections; running requests go on."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._task_by_connection):
            if connection.idle:
                connection.close()

    def abort(self) -> None:
        """Reset every connection."""
        for connection in list(self._task_by_connection):
            connection.abort()

    def _accept(self, stream: ByteStream) -> None:
        connection = _ServerConnection(self, stream)
        task = asyncio.create_task(connection.run())
        self._task_by_connection[connection] = task
        task.add_done_callback(lambda done: self._forget(connection, done))

    def _forget(self, connection: _ServerConnection, task: asyncio.Task[None]) -> None:
        self._task_by_connection.pop(connection, None)
        if not task.cancelled() and task.exception() is not None:
            logger.error("a connection failed", exc_info=task.exception())
            connection.abort()
