"""A loopback TCP proxy that can delay or drop data in one or both directions or reset."""

import asyncio
import contextlib
from enum import StrEnum

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.15


class Mode(StrEnum):
    """What a proxy does with data and connections."""

    FORWARD = "forward"
    DELAY = "delay"
    DROP = "drop"
    DROP_RESPONSES = "drop responses"
    RESET = "reset"


class Proxy:
    """Forwards connections to one address, subject to the current mode."""

    def __init__(self, target: str) -> None:
        self.mode = Mode.FORWARD
        self.address = ""
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a loopback port that the system chooses."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening, reset every connection and cancel the forwarding tasks."""
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
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        for opened_writer in (writer, target_writer):
            self._writers.add(opened_writer)
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
                # Dropped data is lost, so the connection is unusable and is reset afterwards.
                if self.mode is Mode.DROP or (self.mode is Mode.DROP_RESPONSES and is_response):
                    await self._wait_until_not_dropping()
                    sink.transport.abort()
                    break
                sink.write(data)
                await sink.drain()
        sink.close()
        self._writers.discard(sink)

    async def _wait_until_not_dropping(self) -> None:
        while self.mode in (Mode.DROP, Mode.DROP_RESPONSES):
            await asyncio.sleep(0.05)
