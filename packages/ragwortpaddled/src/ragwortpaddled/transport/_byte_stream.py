"""One TCP connection as buffered bytes, with its end noticed even while nobody reads."""

import asyncio
from collections.abc import Callable

from ragwortpaddled.transport._socket_options import set_options

READ_AHEAD_BYTES = 256 * 1024  # one client must not fill a VM of 300 MB


class ByteStream(asyncio.Protocol):
    """The bytes of one connection, read and written by one task."""

    def __init__(self, on_connect: "Callable[[ByteStream], None] | None" = None) -> None:
        self.on_end: Callable[[], object] | None = None
        self.ended = False
        self.error: Exception | None = None
        self._on_connect = on_connect
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes that arrived and were not read."""
        return len(self._buffer)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that were written and have not left the process."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_options(transport.get_extra_info("socket"))
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes, and stop the sender while too many wait."""
        self._buffer += data
        self._readable.set()
        if len(self._buffer) > READ_AHEAD_BYTES and self._transport:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Note the end of what the peer sends."""
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the loss of the connection."""
        self.error = self.error or exc
        self._end()
        self._writable.set()

    def pause_writing(self) -> None:
        """Hold the writer back while the peer does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the writer go on."""
        self._writable.set()

    async def read(self) -> bytes:
        """Return what has arrived, or nothing at the orderly end.

        :raises ConnectionError: the connection was reset
        """
        while not self._buffer and not self.ended:
            self._readable.clear()
            await self._readable.wait()
        if not self._buffer and self.error is not None:
            raise ConnectionResetError(str(self.error)) from self.error
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes, waiting while the peer does not take them.

        :raises ConnectionError: the connection is gone
        """
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        self._transport.write(data)
        await self._writable.wait()

    def close(self) -> None:
        """Close the connection after what was written has left."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that a partial answer cannot look complete."""
        if self._transport is not None:
            self._transport.abort()

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self._readable.set()
        if self.on_end is not None:
            self.on_end()


async def connect(address: str) -> ByteStream:
    """Open a connection to ``ip:port``; raises ``OSError`` if it cannot be made."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(ByteStream, host, int(port))
    return stream
