"""HTTP/1.1 towards endpoints: one exchange a connection at a time, and never sent twice."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass

import h11

from ragwortpaddled.errors import NotSentError, ReplyLostError
from ragwortpaddled.transport._byte_stream import ByteStream, connect
from ragwortpaddled.transport._http_client import IDLE_TIMEOUT_SECONDS, first_value

# Endpoints are a millisecond away; a lost opening packet is sent again only after a second, so
# another endpoint is the better choice by then.
CONNECT_TIMEOUT_SECONDS = 0.4

RawHeaders = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and the headers of a response."""

    status: int
    headers: RawHeaders

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return first_value(self.headers, name)


class Http1Connection:
    """One connection to an endpoint, used for one exchange after another."""

    def __init__(self, address: str, stream: ByteStream) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_seconds = IDLE_TIMEOUT_SECONDS
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    @property
    def reusable(self) -> bool:
        """Tell whether the last exchange ended cleanly and nothing followed it."""
        if self._stream.ended or self._stream.waiting_bytes or self._stream.unsent_bytes:
            return False
        if self._http.trailing_data[0]:
            return False
        return self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE

    async def send(self, method: bytes, target: bytes, headers: RawHeaders, body: bytes) -> None:
        """Send a whole request.

        :raises ReplyLostError: the connection broke; the request may have arrived
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
        """Return the head of the final response.

        :raises ReplyLostError: the connection broke or what came is not HTTP
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ReplyLostError(f"{self.address}: the connection closed before a response")

    async def read_body(self) -> bytes | None:
        """Return some bytes of the body, or None at its proper end.

        :raises ReplyLostError: the connection broke before the end
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._finish()
                return None
            raise ReplyLostError(f"{self.address}: the connection closed within a response")

    def close(self) -> None:
        """Close at once, which tells an endpoint to drop the work."""
        self._stream.abort()

    def _finish(self) -> None:
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

    async def _next_event(self) -> object:
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(await self._stream.read())
        except (OSError, h11.ProtocolError) as error:
            raise ReplyLostError(f"{self.address}: {error}") from error
        return event


class Http1Pool:
    """Kept connections to endpoints by address."""

    def __init__(self) -> None:
        self.opened = 0
        self._idle_by_address: defaultdict[str, list[Http1Connection]] = defaultdict(list)

    async def take(self, address: str, *, fresh: bool = False) -> Http1Connection:
        """Return a connection, a new one where a request must not meet a stale one.

        :raises NotSentError: no connection could be made
        """
        idle = self._idle_by_address[address]
        while idle and not fresh:
            connection = idle.pop()
            age = time.monotonic() - connection.idle_since
            if connection.reusable and age < connection.idle_seconds:
                return connection
            connection.close()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                return Http1Connection(address, await connect(address))
        except OSError as error:  # TimeoutError included
            raise NotSentError(f"{address}: {error!r}") from error

    def give_back(self, connection: Http1Connection) -> None:
        """Keep a connection whose exchange ended, or close it if it cannot be used again."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        self._idle_by_address[connection.address].append(connection)

    def close_idle(self) -> None:
        """Close connections that have been idle for too long or were closed by their peer."""
        now = time.monotonic()
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for connection in idle:
                if connection.reusable and now - connection.idle_since < connection.idle_seconds:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close every kept connection."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()
