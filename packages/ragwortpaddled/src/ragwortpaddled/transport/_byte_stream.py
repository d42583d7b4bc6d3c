"""A buffered TCP connection that reports a disconnect even while no task reads from it."""

import asyncio
import logging
import socket
import struct
from collections.abc import Callable
from enum import Enum

from ragwortpaddled.transport._address import parse_address
from ragwortpaddled.transport._socket_options import set_options

NO_LINGER = struct.pack("ii", 1, 0)  # close() sends a reset
MAX_UNREAD_BYTES = 64 * 1024  # bounds the memory per client on a VM with 300 MB
RECEIVE_BYTES = 64 * 1024

# Shared by all connections: the event loop fills it and hands it to one of them at once.
_receive_buffer = memoryview(bytearray(RECEIVE_BYTES))

logger = logging.getLogger(__name__)


class StreamEnd(Enum):
    """What ended a connection, as far as this process can tell."""

    CLOSED_BY_PEER = "closed its sending side"
    RESET_BY_PEER = "reset the connection"
    NO_RESPONSE = "no response"
    CLOSED_HERE = "closed by this process"


class ByteStream(asyncio.BufferedProtocol):
    """One TCP connection, read and written by a single task."""

    def __init__(self, on_connect: "Callable[[ByteStream], None] | None" = None) -> None:
        self.on_disconnect: Callable[[], object] | None = None
        self.end: StreamEnd | None = None
        self.error: Exception | None = None
        self._on_connect = on_connect
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def disconnected(self) -> bool:
        """Return whether the peer has closed its sending side or the connection has ended."""
        return self.end is not None

    @property
    def peer_host(self) -> str:
        """Return the address of the peer without its port, empty if it is not known."""
        peer_name = self._transport.get_extra_info("peername") if self._transport else None
        return peer_name[0] if peer_name else ""

    @property
    def unread_bytes(self) -> int:
        """Return the number of received bytes that have not been read."""
        return len(self._buffer)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that are still in the send buffer of the process."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport and the options of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        try:
            set_options(transport.get_extra_info("socket"))
        except OSError as error:  # the connection works without them, or is already reset
            logger.warning("socket options not set", extra={"fields": {"reason": str(error)}})
        if self._on_connect is not None:
            self._on_connect(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the bytes that are received next."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the received bytes out of the shared buffer."""
        self.data_received(bytes(_receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; stop receiving while more than ``MAX_UNREAD_BYTES`` are unread."""
        self._buffer += data
        self._readable.set()
        if len(self._buffer) > MAX_UNREAD_BYTES and self._transport:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat the end of the received data as a disconnect, but keep the sending side open.

        Until something is sent, a peer that has closed only its sending side looks like one that
        has closed the connection.
        """
        self._mark_disconnected(StreamEnd.CLOSED_BY_PEER)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the disconnect and its error, and wake the reader and the writer."""
        self.error = self.error or exc
        if exc is None:
            self._mark_disconnected(StreamEnd.CLOSED_HERE)
        elif isinstance(exc, ConnectionError):
            self._mark_disconnected(StreamEnd.RESET_BY_PEER)
        else:
            self._mark_disconnected(StreamEnd.NO_RESPONSE)
        self._writable.set()

    def pause_writing(self) -> None:
        """Block ``write`` while the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock ``write``."""
        self._writable.set()

    @property
    def readable(self) -> bool:
        """Return whether ``read`` would return without waiting."""
        return bool(self._buffer) or self.disconnected

    async def wait_readable(self) -> None:
        """Wait for received bytes or the end of the connection."""
        while not self.readable:
            self._readable.clear()
            await self._readable.wait()

    async def read(self) -> bytes:
        """Return all unread bytes, waiting for some; empty if the peer closed the connection.

        :raises ConnectionError: the connection was reset, or closed by this process
        """
        await self.wait_readable()
        if not self._buffer and self.error is not None:
            raise ConnectionResetError(str(self.error)) from self.error
        if not self._buffer and self.end is StreamEnd.CLOSED_HERE:
            raise ConnectionResetError(self.end.value)
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    async def write(self, *parts: bytes) -> None:
        """Send bytes, waiting while the send buffer is full.

        :raises ConnectionError: the connection is closed
        """
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        for part in parts:
            self._transport.write(part)
        await self._writable.wait()

    def end_writing(self) -> None:
        """Close the sending side after all written bytes have been sent."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection after all written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, without the bytes that are still unsent."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Close the connection at once, so that the peer sees an error and not an end."""
        if self._transport is not None and not self._transport.is_closing():
            connection = self._transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            self._transport.abort()

    def _mark_disconnected(self, end: StreamEnd) -> None:
        if self.disconnected:
            return
        self.end = end
        self._readable.set()
        if self.on_disconnect is not None:
            self.on_disconnect()


async def connect(address: str) -> ByteStream:
    """Open a connection to ``host:port``; raises ``OSError`` if that fails."""
    loop = asyncio.get_running_loop()
    try:
        host, port = parse_address(address)
        _, stream = await loop.create_connection(ByteStream, host, port)
    except ValueError as error:  # also from a host that cannot be encoded
        raise OSError(f"invalid address: {error}") from error
    return stream
