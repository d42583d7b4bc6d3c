"""Peer sockets: an end that a message crosses."""

import asyncio
import socket

from ragwortpaddled.transport import KeyRing, PeerServer

CLOSE_SECONDS = 2.0


class CrossedContext:
    """Receives a message in the moment of the cancel, which the library then does not report."""

    def __init__(self) -> None:
        self.received = 0

    def __enter__(self) -> "CrossedContext":
        return self

    def __exit__(self, *details: object) -> None:
        return

    async def arecv(self) -> bytes:
        self.received += 1
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if self.received > 1:
                raise
        return b"not sealed"

    async def asend(self, data: bytes) -> None:
        return


class TestClose:
    async def test_cancel_crossed_by_a_message(self, tmp_path, monkeypatch) -> None:
        keys = tmp_path / "keys"
        keys.write_text("first " + "a1" * 32 + "\n")
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{free.getsockname()[1]}"
        server = PeerServer(address, KeyRing(keys), handler=None)
        contexts: list[CrossedContext] = []

        def new_context() -> CrossedContext:
            contexts.append(CrossedContext())
            return contexts[-1]

        monkeypatch.setattr(server._socket, "new_context", new_context)
        server.start()
        while not all(context.received for context in contexts):
            await asyncio.sleep(0)
        async with asyncio.timeout(CLOSE_SECONDS):
            await server.close()
