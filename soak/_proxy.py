"""A loopback proxy that delays, silences, cuts one way or resets what passes."""

import asyncio
import contextlib
from enum import StrEnum

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.15


class Mode(StrEnum):
    """What a proxy does with what passes."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one way"
    RESET = "reset"


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, target: str) -> None:
        self.mode = Mode.PASS
        self.address = ""
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a port of the system."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset every connection."""
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            inner_reader, inner_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        for one in (writer, inner_writer):
            self._writers.add(one)
        for source, sink, back in ((reader, inner_writer, False), (inner_reader, writer, True)):
            task = asyncio.create_task(self._forward(source, sink, back=back))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, *, back: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                # What was swallowed is lost for good, so the connection is of no more use.
                if self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and back):
                    await self._until_over()
                    sink.transport.abort()
                    break
                sink.write(data)
                await sink.drain()
        sink.close()
        self._writers.discard(sink)

    async def _until_over(self) -> None:
        while self.mode in (Mode.SILENT, Mode.ONE_WAY):
            await asyncio.sleep(0.05)
