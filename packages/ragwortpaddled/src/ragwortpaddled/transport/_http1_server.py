"""HTTP/1.1 server for the relay's callers.

When a caller disconnects, its request's handler is cancelled at once. That includes a caller that
closes only its sending side, which can't be told from one that is gone. A response that cannot be
completed ends with a connection reset, so that the caller cannot take it for a complete one.

A connection that ends before the response to its request is complete is logged once, with who ended
it and why.
"""

import asyncio
import logging
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import h11

from ragwortpaddled.transport._byte_stream import ByteStream, StreamEnd
from ragwortpaddled.transport._http1_client import RawHeaders
from ragwortpaddled.transport._http_messages import first_value
from ragwortpaddled.transport._message_memory import RetainedMessage, message_memory
from ragwortpaddled.transport._read_allowance import ReadAllowance

LISTEN_BACKLOG = 1024  # connections of one burst; the kernel may lower it (net.core.somaxconn)
# A close with unread bytes resets the connection, which destroys a response on its way to the
# caller. So bytes that still arrive after the response are read and discarded first.
DISCARD_TIMEOUT_SECONDS = 1.0
LOOP_TURNS_TO_RECEIVE = 2  # the first one finds the bytes, the second one receives them
# Of the header limit, which counts names, values and the target. A head that is still incomplete
# also has separators, which the limit does not count.
MAX_INCOMPLETE_FACTOR = 2
MAX_DISCARDED_BYTES = 32 * 1024 * 1024
STATUSES_WITHOUT_BODY = (204, 304)
COMPLETE_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

PARTY_AND_REASON_BY_END = {
    StreamEnd.CLOSED_BY_PEER: ("caller", "the caller closed its sending side"),
    StreamEnd.RESET_BY_PEER: ("caller", "the caller reset the connection"),
    StreamEnd.NO_RESPONSE: ("network", "no response from the caller's VM"),
    StreamEnd.CLOSED_HERE: ("daemon", "the connection was closed"),
    None: ("daemon", "the connection's task was cancelled"),
}

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a request and on the time that a caller may take to send it.

    ``header_timeout_seconds`` starts with the first bytes of a request and includes its body.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """One request with its complete body."""

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent."""
        return first_value(self.headers, name)


class _RejectedRequestError(Exception):
    """A request violates a limit or the protocol; ``status`` is the response status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def _header_limit_error(max_header_bytes: int) -> _RejectedRequestError:
    return _RejectedRequestError(431, f"the target and headers exceed {max_header_bytes} bytes")


def _incomplete_request_error() -> _RejectedRequestError:
    return _RejectedRequestError(408, "the request was not received completely before the timeout")


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: "_ServerConnection", method: bytes) -> None:
        self.failure_status = 500  # sent if the handler fails before the response has started
        self._connection = connection
        self._is_head = method == b"HEAD"

    @property
    def started(self) -> bool:
        """Return whether any part of the response has been written."""
        return self._connection.response_started

    @property
    def complete(self) -> bool:
        """Return whether the whole response has been written."""
        return self._connection.response_complete

    @property
    def disconnected(self) -> bool:
        """Return whether the caller can't receive a response any more."""
        return self._connection.disconnected

    async def send(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a complete response; Content-Length is set from the body.

        The body is left out where HTTP allows none: after HEAD, and with the status 204 or 304.
        """
        sized_headers = [(k, v) for k, v in headers if k.lower() != b"content-length"]
        has_body = not self._is_head and status not in STATUSES_WITHOUT_BODY
        if has_body or (self._is_head and body):
            sized_headers.append((b"Content-Length", str(len(body)).encode()))
        head = self._build_head(status, sized_headers)
        data = h11.Data(data=body if has_body else b"")
        # In one step, so that a response is either complete or has not started.
        await self._connection.send(head, data, h11.EndOfMessage())

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Send the status and the headers; without a Content-Length the body is sent in chunks."""
        await self._connection.send(self._build_head(status, headers))

    def _build_head(self, status: int, headers: RawHeaders) -> h11.Response:
        return h11.Response(status_code=status, headers=self._connection.add_close_header(headers))

    async def write(self, data: bytes) -> None:
        """Send one part of the body."""
        if data:
            await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the body."""
        await self._connection.send(h11.EndOfMessage())


Handler = Callable[[ServerRequest, Responder], Coroutine[Any, Any, None]]


class _ServerConnection:
    """A connection from a caller."""

    def __init__(self, server: "Http1Server", stream: ByteStream) -> None:
        self._server = server
        self._stream = stream
        self._has_request = False
        self._method = b""  # of the request that is being read or served
        self._headers: RawHeaders = []  # of the same request
        self._written_bytes = 0  # of its response
        self._abort_reason = ""
        self._refusing = False
        self._read_timeout: asyncio.Timeout | None = None  # of a wait for bytes
        self._keeps_open = True
        self._closing = False
        self._close_when_idle = False
        self._since = 0.0  # when the connection became idle or its request began to arrive
        # The limit may change while the connection is open, so it is checked here and not by h11.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._allowance = ReadAllowance(stream.peer_host)
        self._message = RetainedMessage(message_memory(), stream.peer_host, self._end_wait)

    @property
    def _limits(self) -> CallerLimits:
        """Return the limits in force, which may change while the connection is open."""
        return self._server.limits()

    @property
    def idle(self) -> bool:
        """Return whether every request that has arrived, in part or whole, is answered."""
        if self._closing:
            return not self._stream.unsent_bytes
        unread_or_unsent = self._stream.unread_bytes or self._stream.unsent_bytes
        return not self._has_request and not unread_or_unsent

    @property
    def disconnected(self) -> bool:
        return self._stream.disconnected

    @property
    def response_started(self) -> bool:
        return self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def response_complete(self) -> bool:
        return self._http.our_state in COMPLETE_STATES

    def add_close_header(self, headers: RawHeaders) -> RawHeaders:
        """Add ``Connection: close`` to the last response."""
        if self._server.draining or not self._keeps_open:
            return [*headers, (b"Connection", b"close")]
        return headers

    async def send(self, *events: h11.Event) -> None:
        parts = [self._http.send(event) or b"" for event in events]
        self._written_bytes += sum(len(part) for part in parts)
        await self._stream.write(*parts)

    def close_if_idle(self) -> None:
        """Close the connection, unless a request has arrived or a response is on its way.

        That includes a request that the system has received and this process has not.
        """
        if self.idle and not self._closing:
            self._close_when_idle = True
            self._end_wait()

    def refuse_partial_request(self) -> None:
        """Answer a request that has not arrived completely with 503."""
        self._refusing = True
        self._end_wait()

    def _end_wait(self) -> None:
        """Let a wait for bytes time out now."""
        if self._read_timeout is not None and not self._read_timeout.expired():
            self._read_timeout.reschedule(asyncio.get_running_loop().time())

    def abort(self, reason: str) -> None:
        """End the connection now; ``reason`` is logged unless the caller has ended it before."""
        if self.response_complete and not (
            self._stream.unread_bytes or self._http.trailing_data[0]
        ):
            self._update_has_unsent_response()  # what the system has, it sends
        if not self._stream.disconnected:
            self._abort_reason = self._abort_reason or reason
        if self.response_started and self._http.their_http_version != b"1.1":
            self._stream.reset()  # a body without length or chunks would look complete
        else:
            self._stream.abort()

    async def run(self) -> None:
        try:
            await self._serve_all()
        finally:
            self._message.release()
            if self._has_request:
                self._log_end()

    async def _serve_all(self) -> None:
        try:
            while await self._serve_one():
                pass
            self._stream.close()
        except _RejectedRequestError as error:
            await self._reject(error)
        except (OSError, h11.ProtocolError) as error:
            self.abort(str(error))

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection can serve another."""
        request = await self._read_request()
        if request is None or self._stream.disconnected:
            return False
        self._written_bytes = 0
        responder = Responder(self, request.method)
        handler_task = asyncio.create_task(self._server.handler(request, responder))
        self._stream.on_disconnect = handler_task.cancel
        task = asyncio.current_task()
        try:
            await handler_task
        except asyncio.CancelledError:
            if task is not None and task.cancelling():
                raise
            if not self._stream.disconnected:
                await self._fail(responder)
                return False
        except ConnectionError as error:
            self.abort(str(error))
            return False
        except Exception:
            await self._fail(responder)
            return False
        finally:
            self._stream.on_disconnect = None
            self._message.release()
        if not self.response_complete:
            self.abort("the handler ended before the response was complete")
            return False
        if (self._http.our_state, self._http.their_state) != (h11.DONE, h11.DONE):
            await self._close_in_order()
            return False
        self._http.start_next_cycle()
        self._has_request = bool(self._http.trailing_data[0])
        return True

    async def _read_request(self) -> ServerRequest | None:
        """Return the next request, None if the connection ends before one arrives."""
        self._method = b""
        self._headers = []
        self._since = asyncio.get_running_loop().time()
        event = await self._parse_event()
        while event is h11.NEED_DATA and not self._http.trailing_data[0]:
            if not await self._wait_readable(self._idle_limit_seconds):
                return None
            self._receive_data(await self._stream.read())
            event = await self._parse_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        self._has_request = True
        self._close_when_idle = False
        self._since = asyncio.get_running_loop().time()
        return await self._read_head_and_body(event)

    def _idle_limit_seconds(self) -> float:
        return 0.0 if self._close_when_idle else self._limits.idle_timeout_seconds

    async def _wait_readable(self, limit_seconds: Callable[[], float]) -> bool:
        """Wait for bytes or the end of the connection; return whether one came in time.

        A configuration may change the limit during the wait.
        """
        loop = asyncio.get_running_loop()
        while not self._stream.readable:
            try:
                until = self._since + limit_seconds()
                async with asyncio.timeout_at(until) as self._read_timeout:
                    await self._stream.wait_readable()
                self._read_timeout = None
            except TimeoutError:
                # A timer can fire before bytes are read that arrived while the process was paused.
                for _ in range(LOOP_TURNS_TO_RECEIVE):
                    await asyncio.sleep(0)
                expired = loop.time() >= self._since + limit_seconds()
                if (expired or self._ended_early) and not self._stream.readable:
                    return False
        return True

    async def _read_head_and_body(self, event: object) -> ServerRequest | None:
        while not isinstance(event, h11.Request):
            if isinstance(event, h11.ConnectionClosed):
                return None
            event = await self._read_event()
        self._method = event.method
        self._headers = list(event.headers.raw_items())
        if event.method == b"CONNECT":
            raise _RejectedRequestError(501, "the method CONNECT is not supported")
        header_bytes = sum(len(name) + len(value) for name, value in self._headers)
        if header_bytes + len(event.target) > self._limits.max_header_bytes:
            raise _header_limit_error(self._limits.max_header_bytes)
        if self._http.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = await self._read_body()
        if body is None:
            return None
        return ServerRequest(event.method, event.target, self._headers, body)

    async def _read_body(self) -> bytes | None:
        """Return the whole body, None if the connection ends before."""
        body = bytearray()
        try:
            while not isinstance(part := await self._read_event(), h11.EndOfMessage):
                if isinstance(part, h11.ConnectionClosed):
                    return None
                assert isinstance(part, h11.Data)
                body += part.data
                max_bytes = self._limits.max_body_bytes
                if len(body) > max_bytes:
                    raise _RejectedRequestError(413, f"the body exceeds {max_bytes} bytes")
                self._message.retain(len(body))
                self._check_memory()
            self._message.complete = True
            return bytes(body)
        finally:
            body.clear()  # the traceback of an error would keep it

    async def _read_event(self) -> object:
        while (event := await self._parse_event()) is h11.NEED_DATA:
            if not await self._wait_readable(lambda: self._limits.header_timeout_seconds):
                self._check_ended_early()
                raise _incomplete_request_error()
            self._check_memory()
            self._receive_data(await self._stream.read())
        return event

    async def _take_turn(self) -> None:
        """Wait until the connection may parse more; end a request that takes too long."""
        await self._allowance.take_turn()
        if not self._has_request:
            return
        self._check_ended_early()
        elapsed_seconds = asyncio.get_running_loop().time() - self._since
        if elapsed_seconds >= self._limits.header_timeout_seconds:
            raise _incomplete_request_error()

    @property
    def _ended_early(self) -> bool:
        """Return whether a request that has not arrived completely is no longer waited for."""
        return self._refusing or self._message.ended

    def _check_memory(self) -> None:
        if self._message.ended:
            raise _RejectedRequestError(503, "the memory for incomplete messages is used up")

    def _check_ended_early(self) -> None:
        self._check_memory()
        if self._refusing:
            raise _RejectedRequestError(503, "shutting down")

    async def _parse_event(self) -> object:
        if self._allowance.used_up:
            await self._take_turn()
        started_at = time.perf_counter()
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise _RejectedRequestError(error.error_status_hint, str(error)) from error
        finally:
            self._allowance.spend(started_at)
        max_header_bytes = self._limits.max_header_bytes
        if event is h11.NEED_DATA:
            incomplete_bytes = len(self._http.trailing_data[0])
            if incomplete_bytes > max_header_bytes * MAX_INCOMPLETE_FACTOR:
                raise _header_limit_error(max_header_bytes)
        return event

    def _receive_data(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise _RejectedRequestError(error.error_status_hint, str(error)) from error

    async def _fail(self, responder: Responder) -> None:
        """Log the error of a handler and send its caller a response, if none has started."""
        self._log(logging.ERROR, "unhandled error in the handler of a request", exc_info=True)
        if self.response_started:
            self.abort("unhandled error")
            return
        self._keeps_open = False
        await responder.send(responder.failure_status, [], b"internal error")
        await self._close_in_order()

    async def _reject(self, error: _RejectedRequestError) -> None:
        self._log(logging.INFO, f"rejected request: {error}", status=error.status)
        self._keeps_open = False
        try:
            await Responder(self, self._method).send(error.status, [], str(error).encode())
        except (OSError, h11.ProtocolError) as error:
            self.abort(str(error))
            return
        await self._close_in_order()

    async def _close_in_order(self) -> None:
        """Close the sending side, discard what still arrives, then close the connection."""
        self._closing = True
        self._update_has_unsent_response()
        self._stream.end_writing()
        loop = asyncio.get_running_loop()
        stalled_since = loop.time()
        deadline = loop.time() + DISCARD_TIMEOUT_SECONDS
        unsent_bytes = self._stream.unsent_bytes
        discarded_bytes = 0
        while discarded_bytes < MAX_DISCARDED_BYTES:
            try:
                async with asyncio.timeout_at(deadline):
                    data = await self._stream.read()
            except TimeoutError:
                if self._stream.unsent_bytes < unsent_bytes:
                    stalled_since = loop.time()
                unsent_bytes = self._stream.unsent_bytes
                if not unsent_bytes:
                    break
                if loop.time() - stalled_since >= self._limits.idle_timeout_seconds:
                    self.abort("the caller did not read the response in time")
                    return
                deadline = loop.time() + DISCARD_TIMEOUT_SECONDS
                continue
            except ConnectionError:
                break
            if not data:
                break
            discarded_bytes += len(data)
        self._update_has_unsent_response()
        self._stream.close()

    def _update_has_unsent_response(self) -> None:
        """Update whether a response is unsent; once the connection is lost, that is unknown."""
        if self._stream.end in (None, StreamEnd.CLOSED_BY_PEER):
            self._has_request = bool(self._stream.unsent_bytes)

    def _log_end(self) -> None:
        ended_by, reason = PARTY_AND_REASON_BY_END[self._stream.end]
        if self._abort_reason:
            ended_by, reason = "daemon", self._abort_reason
        progress = "written" if self.response_complete else "started"
        self._log(
            logging.INFO,
            "response aborted" if ended_by == "daemon" else "caller disconnected",
            ended_by=ended_by,
            reason=reason,
            response=progress if self.response_started else "not started",
            written_bytes=self._written_bytes,
            ms=int((asyncio.get_running_loop().time() - self._since) * 1000),
        )

    def _log(self, level: int, message: str, *, exc_info: bool = False, **fields: object) -> None:
        request_id = self._server.get_request_id(self._headers)
        extra = {"request_id": request_id, "fields": fields}
        logger.log(level, message, exc_info=exc_info, extra=extra)


class Http1Server:
    """A server that passes requests to a handler, one at a time per connection."""

    def __init__(
        self,
        listen: str,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        get_request_id: Callable[[RawHeaders], str] = lambda headers: "-",
    ) -> None:
        self.draining = False
        self.get_request_id = get_request_id
        self.handler = handler
        self.limits = limits
        self.address = listen
        self._server: asyncio.Server | None = None
        self._task_by_connection: dict[_ServerConnection, asyncio.Task[None]] = {}
        self._accepting_tasks: set[asyncio.Task[None]] = set()

    @property
    def in_flight(self) -> int:
        """Return the number of unanswered requests that have arrived, in part or whole.

        Connections that are being accepted count, since a request may have arrived on them.
        """
        unanswered = sum(not connection.idle for connection in self._task_by_connection)
        return unanswered + len(self._accepting_tasks)

    @property
    def open_connections(self) -> int:
        """Return the number of connections that have not ended, idle ones included."""
        return len(self._task_by_connection)

    async def start(self) -> None:
        """Start listening; raises ``OSError`` if the address cannot be bound.

        With port 0 the operating system selects a port, which ``address`` then contains.
        """
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ByteStream(self._accept),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def stop_accepting(self) -> None:
        """Close the listener and the idle connections; requests that have arrived continue."""
        if self._server is not None:
            self._close_listener(self._server)
            self._server = None
        for connection in list(self._task_by_connection):
            connection.close_if_idle()

    def _close_listener(self, server: asyncio.Server) -> None:
        """Stop listening; accept the connections that the system has established before."""
        listeners = [listener.dup() for listener in server.sockets]
        server.close()
        for listener in listeners:
            with listener:
                while (connection := _accept_waiting(listener)) is not None:
                    self._start_accepted(connection)

    def _start_accepted(self, connection: socket.socket) -> None:
        def finish(finished: asyncio.Task[None]) -> None:
            self._accepting_tasks.discard(finished)
            if finished.cancelled():
                connection.close()

        task = asyncio.create_task(self._serve_accepted(connection))
        self._accepting_tasks.add(task)
        task.add_done_callback(finish)

    async def _serve_accepted(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ByteStream(self._accept), connection)
        except OSError as error:
            connection.close()
            fields = {"reason": str(error)}
            logger.info("accepted connection broke at once", extra={"fields": fields})
            return
        # Only what has been read counts as a request in flight.
        for _ in range(LOOP_TURNS_TO_RECEIVE):
            await asyncio.sleep(0)

    def refuse_partial_requests(self) -> None:
        """Answer each request that has not arrived completely with 503."""
        for connection in list(self._task_by_connection):
            connection.refuse_partial_request()

    def abort(self, reason: str = "the server was stopped") -> None:
        """Reset all connections; ``reason`` is logged for each response that this cuts off."""
        for task in self._accepting_tasks:
            task.cancel()
        for connection in list(self._task_by_connection):
            connection.abort(reason)

    def _accept(self, stream: ByteStream) -> None:
        connection = _ServerConnection(self, stream)
        task = asyncio.create_task(connection.run())
        self._task_by_connection[connection] = task
        task.add_done_callback(lambda finished: self._remove_connection(connection, finished))

    def _remove_connection(self, connection: _ServerConnection, task: asyncio.Task[None]) -> None:
        self._task_by_connection.pop(connection, None)
        if task.cancelled():
            connection.abort("the connection's task was cancelled")
        elif task.exception() is not None:
            logger.error("unhandled error on a connection from a caller", exc_info=task.exception())
            connection.abort("unhandled error")


def _accept_waiting(listener: socket.socket) -> socket.socket | None:
    """Return a connection that waits to be accepted, None if there is none."""
    while True:
        try:
            connection, _ = listener.accept()
        except ConnectionAbortedError:
            continue  # its caller has gone
        except BlockingIOError:
            return None
        except OSError as error:
            fields = {"reason": str(error)}
            logger.warning("connections not accepted before the close", extra={"fields": fields})
            return None
        connection.setblocking(False)
        return connection
