"""HTTP/1.1 over h11: one exchange at a time per connection, no automatic retries."""

import time
from collections import defaultdict
from dataclasses import dataclass
from urllib.parse import urlsplit

import h11

from ragwortpaddled.errors import (
    NotSentError,
    ReplyLostError,
    ReplyTimeoutError,
    ReplyTooLargeError,
)
from ragwortpaddled.transport._byte_stream import ByteStream, connect
from ragwortpaddled.transport._http_messages import (
    IDLE_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
    Headers,
    HttpReply,
    first_value,
)
from ragwortpaddled.transport._loop_clock import loop_clock, running_timeout
from ragwortpaddled.transport._message_memory import RetainedMessage, message_memory
from ragwortpaddled.transport._read_allowance import ReadAllowance

# Endpoints are about 1 ms away. TCP retransmits a lost SYN only after 1 s; trying another endpoint
# is faster than waiting for that.
CONNECT_TIMEOUT_SECONDS = 0.4
MAX_INTERIM_RESPONSES = 8  # a correct server sends one or two
MAX_PART_BYTES = 64 * 1024  # of a body, joined from received chunks

RawHeaders = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and headers of a response."""

    status: int
    headers: RawHeaders

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent."""
        return first_value(self.headers, name)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the body has neither a length nor chunks."""
        framing = (b"content-length", b"transfer-encoding")
        return all(self.header(name) is None for name in framing)


class Http1Connection:
    """One connection to an endpoint, which carries one exchange at a time."""

    def __init__(self, address: str, stream: ByteStream) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_timeout_seconds = IDLE_TIMEOUT_SECONDS
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        self._allowance = ReadAllowance(address)
        self._message = RetainedMessage(message_memory(), address, stream.abort)
        self._parsed: object = None  # the event, or error, that ended the last part of a body

    @property
    def reusable(self) -> bool:
        """Return whether the last exchange is complete and no unexpected bytes followed it."""
        if self._stream.disconnected or self._stream.unread_bytes or self._stream.unsent_bytes:
            return False
        if self._http.trailing_data[0]:
            return False
        return self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE

    async def send(self, method: bytes, target: bytes, headers: RawHeaders, body: bytes) -> None:
        """Send a request with its complete body.

        :raises ReplyLostError: the connection broke; the endpoint may have received the request
        """
        try:
            data = (
                self._http.send(h11.Request(method=method, target=target, headers=headers)) or b""
            )
            if body:
                data += self._http.send(h11.Data(data=body)) or b""
            data += self._http.send(h11.EndOfMessage()) or b""
            await self._stream.write(data)
        except (OSError, h11.LocalProtocolError) as error:
            raise ReplyLostError(f"{self.address}: {error}") from error

    async def read_head(self) -> ResponseHead:
        """Return the status and headers of the final response, skipping interim (1xx) responses.

        :raises ReplyLostError: the connection broke or the response is not valid HTTP
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ReplyLostError(f"{self.address}: connection closed before the response")
        raise ReplyLostError(f"{self.address}: over {MAX_INTERIM_RESPONSES} interim responses")

    async def read_body_part(self) -> bytes | None:
        """Return the next part of the body, None once the body is complete.

        :raises ReplyLostError: the connection broke before the body was complete
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return self._join_received(event)
        if isinstance(event, h11.EndOfMessage):
            self._prepare_next_exchange()
            return None
        raise ReplyLostError(f"{self.address}: connection closed within the response")

    async def read_body(self) -> bytes:
        """Return the whole body, or what remains of it.

        :raises ReplyTooLargeError: the body exceeds ``MAX_BODY_BYTES``, or see ``retain``
        :raises ReplyLostError: the connection broke
        """
        body = bytearray()
        try:
            while (data := await self.read_body_part()) is not None:
                body += data
                if len(body) > MAX_BODY_BYTES:
                    raise ReplyTooLargeError(f"{self.address}: body exceeds {MAX_BODY_BYTES} bytes")
                self.retain(len(body))
            self._message.complete = True
            return bytes(body)
        finally:
            body.clear()  # the traceback of an error would keep it

    def retain(self, size: int) -> None:
        """Record how many bytes of the response the reader keeps, until the connection is released.

        :raises ReplyTooLargeError: the response was ended to free memory
        """
        self._message.retain(size)
        self._check_not_ended()

    def close(self) -> None:
        """Reset the connection, which makes the endpoint cancel a running request."""
        self._message.release()
        self._stream.abort()

    def release_memory(self) -> None:
        """Record that nothing of the last response is kept."""
        self._message.release()

    def _check_not_ended(self) -> None:
        if self._message.ended:
            reason = "response ended to bound the memory of incomplete messages"
            raise ReplyTooLargeError(f"{self.address}: {reason}")

    def _prepare_next_exchange(self) -> None:
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

    def _join_received(self, first: h11.Data) -> bytes:
        """Join a chunk with those received with it, as far as the connection may parse them."""
        part = bytearray(first.data)
        while len(part) < MAX_PART_BYTES and not self._allowance.used_up:
            try:
                event = self._parse()
            except ReplyLostError as error:
                self._parsed = error
                break
            if not isinstance(event, h11.Data):
                self._parsed = None if event is h11.NEED_DATA else event
                break
            part += event.data
        return bytes(part)

    async def _next_event(self) -> object:
        event, self._parsed = self._parsed, None
        if isinstance(event, ReplyLostError):
            raise event
        while event is None:
            if self._allowance.used_up:
                await self._allowance.take_turn()
            event = self._parse()
            if event is h11.NEED_DATA:
                event = None
                await self._receive()
        return event

    def _parse(self) -> object:
        started_at = time.perf_counter()
        try:
            return self._http.next_event()
        except h11.ProtocolError as error:
            raise ReplyLostError(f"{self.address}: {error}") from error
        finally:
            self._allowance.spend(started_at)

    async def _receive(self) -> None:
        try:
            self._http.receive_data(await self._stream.read())
        except (OSError, h11.ProtocolError) as error:
            self._check_not_ended()
            raise ReplyLostError(f"{self.address}: {error}") from error
        self._check_not_ended()


class Http1Pool:
    """A pool of idle connections, by address."""

    def __init__(self) -> None:
        self.opened_count = 0
        self._idle_by_address: defaultdict[str, list[Http1Connection]] = defaultdict(list)

    async def acquire(self, address: str, *, fresh: bool = False) -> Http1Connection:
        """Return an idle connection or open one; with ``fresh``, always open one.

        A request that must not be repeated needs a fresh connection. If the endpoint closes an idle
        connection just as the request is sent, it is unknown whether the endpoint received it.

        :raises NotSentError: the connection could not be opened
        """
        idle = self._idle_by_address[address]
        while idle and not fresh:
            connection = idle.pop()
            idle_seconds = time.monotonic() - connection.idle_since
            if connection.reusable and idle_seconds < connection.idle_timeout_seconds:
                return connection
            connection.close()
        self.opened_count += 1
        try:
            async with running_timeout(CONNECT_TIMEOUT_SECONDS):
                return Http1Connection(address, await connect(address))
        except OSError as error:  # includes TimeoutError
            raise NotSentError(f"{address}: {error!r}") from error

    def release(self, connection: Http1Connection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        connection.release_memory()
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        self._idle_by_address[connection.address].append(connection)

    def close_idle(self) -> None:
        """Close connections that exceeded their idle timeout or were closed by the endpoint."""
        now = time.monotonic()
        for address, idle in list(self._idle_by_address.items()):
            open_connections = []
            for connection in idle:
                if (
                    connection.reusable
                    and now - connection.idle_since < connection.idle_timeout_seconds
                ):
                    open_connections.append(connection)
                else:
                    connection.close()
            if open_connections:
                self._idle_by_address[address] = open_connections
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()


class Http1Client:
    """Sends requests over connections of its own pool and reads complete replies."""

    def __init__(self) -> None:
        self._pool = Http1Pool()

    async def exchange(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b"",
        content_type: bytes = b"application/json",
        headers: Headers = (),
        timeout_seconds: float,
        fresh_connection: bool = False,
    ) -> HttpReply:
        """Send a request and return its reply; see ``HttpExchange.exchange``."""
        try:
            parts = urlsplit(url)
            host = parts.netloc.encode()
        except ValueError as error:
            raise NotSentError(f"invalid URL: {error}") from error
        target = f"{parts.path or '/'}?{parts.query}" if parts.query else parts.path or "/"
        sent_headers = [(b"Host", host), *headers]
        if body:
            sent_headers.append((b"Content-Type", content_type))
        if body or method not in ("GET", "DELETE"):
            sent_headers.append((b"Content-Length", str(len(body)).encode()))
        ends_at = loop_clock().time() + timeout_seconds
        connection = await self._pool.acquire(parts.netloc, fresh=fresh_connection)
        complete = False
        try:
            async with running_timeout(max(0.0, ends_at - loop_clock().time())):
                await connection.send(method.encode(), target.encode(), sent_headers, body)
                head = await connection.read_head()
                reply = HttpReply(head.status, tuple(head.headers), await connection.read_body())
            complete = True
            return reply
        except TimeoutError as error:
            raise ReplyTimeoutError(f"{url}: no reply within {timeout_seconds:.3f} s") from error
        finally:
            if complete:
                self._pool.release(connection)
            else:
                connection.close()
            self._pool.close_idle()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
