"""Cuts one daemon of a test off from endpoints, which its peers, callers and the store do not see.

All daemons of a test run in one process and on one host, so the cut is made where a daemon opens
connections: in the function that its connection pools call.
"""

import asyncio
import errno
import re
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from enum import StrEnum

import pytest
from ragwortpaddled.relay import RelayDaemon
from ragwortpaddled.transport import Http1Connection, Http1Pool
from ragwortpaddled.transport import _http1_client as http1_client
from ragwortpaddled.transport._byte_stream import ByteStream, connect
from ragwortpaddled.transport._socket_options import UNACKNOWLEDGED_TIMEOUT_MS

ATTEMPT_ID = re.compile(rb"\r\nx-attempt-id: *([^\r]*)\r\n", re.IGNORECASE)


class Way(StrEnum):
    """How the connections of a daemon that is cut off behave."""

    HANG = "hang"  # existing ones fall silent, new ones are never established
    RESET = "reset"  # existing ones are reset, new ones too
    REFUSE = "refuse"  # existing ones live on, new ones are refused


class EndpointCut:
    """The paths of one daemon to its endpoints, whole until ``start`` and again after ``heal``.

    ``unopened_count`` counts connections that could not be opened, ``sent_attempt_ids`` has the
    ids of the requests that the daemon has sent to endpoints over its own paths.
    """

    def __init__(self, endpoint_addresses: Callable[[], set[str]]) -> None:
        self.unopened_count = 0
        self.sent_attempt_ids: set[str] = set()
        self._endpoint_addresses = endpoint_addresses
        self._way: Way | None = None
        self._cut_addresses: set[str] | None = None
        self._healed = asyncio.Event()
        self._healed.set()
        self._streams: set[_CuttableStream] = set()

    def install(self, daemon: RelayDaemon) -> None:
        """Let a daemon that has not started connect through this object."""
        for pool in (daemon._endpoint_client.connections, daemon._http._pool):
            self.install_in_pool(pool)

    def install_in_pool(self, pool: Http1Pool) -> None:
        """Let a pool without open connections connect through this object."""
        acquire = pool.acquire

        async def acquire_through_cut(address: str, *, fresh: bool = False) -> Http1Connection:
            token = _current_cut.set(self)
            try:
                return await acquire(address, fresh=fresh)
            finally:
                _current_cut.reset(token)

        pool.acquire = acquire_through_cut

    def start(self, way: Way, addresses: set[str] | None = None) -> None:
        """Cut the daemon off from some endpoints, all by default."""
        self._way = way
        self._cut_addresses = addresses
        self._healed.clear()
        for stream in [stream for stream in self._streams if self.is_cut(stream.address)]:
            if way is Way.RESET:
                stream.reset()
            elif way is Way.HANG:
                stream.hang()

    def heal(self) -> None:
        """Make all paths whole: bytes that were held up arrive, unless their sender has left."""
        self._way = None
        self._healed.set()
        for stream in list(self._streams):
            stream.resume()

    def is_cut(self, address: str) -> bool:
        """Return whether an address is an endpoint's that the daemon does not reach."""
        cut_addresses = self._cut_addresses
        if cut_addresses is None:
            cut_addresses = self._endpoint_addresses()
        return self._way is not None and address in cut_addresses

    async def connect(self, address: str) -> ByteStream:
        """Open a connection; raises ``OSError`` if the address refuses it or cannot be reached."""
        while self.is_cut(address):
            self.unopened_count += 1
            if self._way is not Way.HANG:
                raise ConnectionRefusedError(errno.ECONNREFUSED, "injected fault: cut off")
            await self._healed.wait()
        if address not in self._endpoint_addresses():
            return await connect(address)
        host, _, port = address.rpartition(":")
        _, stream = await asyncio.get_running_loop().create_connection(
            lambda: _CuttableStream(self, address), host, int(port)
        )
        return stream

    def record_sent(self, data: bytes) -> None:
        """Record the attempt that a request head names."""
        for match in ATTEMPT_ID.finditer(data):
            self.sent_attempt_ids.add(match.group(1).decode())

    def add_stream(self, stream: "_CuttableStream") -> None:
        """Add an open connection to an endpoint."""
        self._streams.add(stream)

    def remove_stream(self, stream: "_CuttableStream") -> None:
        """Remove a closed connection."""
        self._streams.discard(stream)


class _CuttableStream(ByteStream):
    """A connection whose bytes, in both directions, can be held up without either end noticing."""

    def __init__(self, cut: EndpointCut, address: str) -> None:
        super().__init__()
        self.address = address
        self._cut = cut
        self._hangs = False
        self._gave_up = False  # this end has left a connection that hangs
        self._held: list[Callable[[], object]] = []  # what the endpoint did meanwhile
        self._unsent = bytearray()
        self._give_up_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._cut.add_stream(self)

    def data_received(self, data: bytes) -> None:
        self._hold(lambda: super(_CuttableStream, self).data_received(data))

    def eof_received(self) -> bool:
        self._hold(super().eof_received)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._hangs:
            self._cut.remove_stream(self)
        self._hold(lambda: super(_CuttableStream, self).connection_lost(exc))

    def _hold(self, action: Callable[[], object]) -> None:
        if self._hangs:
            self._held.append(action)
        elif not self._gave_up:
            action()

    async def write(self, data: bytes) -> None:
        if not self._hangs:
            self._cut.record_sent(data)
            await super().write(data)
        elif self._gave_up:
            raise ConnectionResetError("the connection is closed")
        else:
            self._unsent += data

    def close(self) -> None:
        if self._hangs:
            self._give_up(None)
        else:
            super().close()

    def abort(self) -> None:
        if self._hangs:
            self._give_up(None)
        else:
            super().abort()

    def reset(self) -> None:
        """Reset both ends."""
        self.error = ConnectionResetError(errno.ECONNRESET, "injected fault: cut off")
        super().abort()

    def hang(self) -> None:
        """Hold up all bytes; this end gives up after the time-out of its socket options."""
        self._hangs = True
        self._give_up_timer = asyncio.get_running_loop().call_later(
            UNACKNOWLEDGED_TIMEOUT_MS / 1000,
            self._give_up,
            TimeoutError(errno.ETIMEDOUT, "injected fault: cut off"),
        )

    def resume(self) -> None:
        """Deliver what was held up; the endpoint learns now that this end has given up."""
        if not self._hangs:
            return
        self._hangs = False
        if self._give_up_timer is not None:
            self._give_up_timer.cancel()
        if self._gave_up:
            super().abort()
            return
        if self._unsent and self._transport is not None and not self._transport.is_closing():
            self._cut.record_sent(bytes(self._unsent))
            self._transport.write(bytes(self._unsent))
        self._unsent.clear()
        for action in self._held:
            action()
        self._held.clear()
        if self._transport is None or self._transport.is_closing():
            self._cut.remove_stream(self)

    def _give_up(self, error: Exception | None) -> None:
        if self._gave_up:
            return
        self._gave_up = True
        self._unsent.clear()
        asyncio.get_running_loop().call_soon(super().connection_lost, error)


_current_cut: ContextVar[EndpointCut | None] = ContextVar("current_cut", default=None)


async def _connect(address: str) -> ByteStream:
    cut = _current_cut.get()
    return await (cut.connect(address) if cut is not None else connect(address))


def patch_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the pools in which a cut is installed connect through it, for one test."""
    double: Callable[[str], Awaitable[ByteStream]] = _connect
    monkeypatch.setattr(http1_client, "connect", double)
