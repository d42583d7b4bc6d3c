"""A loopback TCP proxy that can delay or drop data in one or both directions, reset or be cut."""

import asyncio
import contextlib
import ctypes
import socket
import struct
from enum import StrEnum

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.15
POLL_INTERVAL_SECONDS = 0.05
# From <asm-generic/socket.h>; the socket module does not define them.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
_DROP_PROGRAM = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))  # BPF: return 0
DROP_FILTER = struct.pack("HL", 1, ctypes.addressof(_DROP_PROGRAM))


class Mode(StrEnum):
    """What a proxy does with data and connections."""

    FORWARD = "forward"
    DELAY = "delay"
    DROP = "drop"
    DROP_RESPONSES = "drop responses"
    RESET = "reset"


class Cut(StrEnum):
    """What a cut link does with connections."""

    HANG = "hang"  # existing ones are silent in both directions, connecting gets no answer
    RESET = "reset"  # existing ones are reset, new ones are refused
    REFUSE = "refuse"  # existing ones live on, new ones are refused


class Proxy:
    """Forwards connections to one address, subject to the current mode, unless it is cut."""

    def __init__(self, target: str = "") -> None:
        self.target = target
        self.mode = Mode.FORWARD
        self.address = ""
        self._cut: Cut | None = None
        self._listener: socket.socket
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()
        self._client_writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a loopback port, by default one that the system chooses."""
        self._listener = socket.create_server((host, port))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        await self._listen()

    async def stop(self) -> None:
        """Stop listening, reset every connection and cancel the forwarding tasks."""
        self._server.close()
        self._listener.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset every connection."""
        for writer in self._writers:
            _reset(writer)

    def start_cut(self, cut: Cut) -> None:
        """Cut the link between the clients and this proxy, which needs a fixed port."""
        self._cut = cut
        if cut is Cut.HANG:
            self._listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, DROP_FILTER)
            for writer in self._client_writers:
                _set_option(writer, SO_ATTACH_FILTER, DROP_FILTER)
            return
        self._server.close()
        self._listener.shutdown(socket.SHUT_RDWR)  # refuses connections, but keeps the port
        if cut is Cut.RESET:
            self.reset()

    async def end_cut(self) -> None:
        """Repair the link; what was sent over a silent connection arrives if it still lives."""
        cut, self._cut = self._cut, None
        if cut is not Cut.HANG:
            await self._listen()
            return
        self._listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        for writer in self._client_writers:
            _set_option(writer, SO_DETACH_FILTER, 0)

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._accept, sock=self._listener.dup())

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.RESET or self._cut is Cut.RESET:
            _reset(writer)
            return
        if self._cut is Cut.HANG:
            _set_option(writer, SO_ATTACH_FILTER, DROP_FILTER)
        self._client_writers.add(writer)
        self._writers.add(writer)  # before the next await, so that a reset meanwhile finds it
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._client_writers.discard(writer)
            self._writers.discard(writer)
            _reset(writer)
            return
        self._writers.add(target_writer)
        for source, sink, is_response in (
            (reader, target_writer, False),
            (target_reader, writer, True),
        ):
            task = asyncio.create_task(self._forward(source, sink, is_response=is_response))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, *, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                await self._wait_until_not_silent()
                # Dropped data is lost, so the connection is unusable and is reset afterwards.
                if self.mode is Mode.DROP or (self.mode is Mode.DROP_RESPONSES and is_response):
                    await self._wait_until_not_dropping()
                    _reset(sink)
                    break
                sink.write(data)
                await sink.drain()
        await self._wait_until_not_silent()
        sink.close()
        self._writers.discard(sink)
        self._client_writers.discard(sink)

    async def _wait_until_not_dropping(self) -> None:
        while self.mode in (Mode.DROP, Mode.DROP_RESPONSES):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _wait_until_not_silent(self) -> None:
        while self._cut is Cut.HANG:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with RST; without the option, the kernel sends FIN."""
    _set_option(writer, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _set_option(writer: asyncio.StreamWriter, option: int, value: bytes | int) -> None:
    """Set an option of a connection's socket unless the connection is lost."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, option, value)
