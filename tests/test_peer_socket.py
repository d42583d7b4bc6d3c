"""Tests that a peer server closes although a message arrives during the cancellation.

pynng then swallows the cancellation, so that a loop without a check of its own would run on and
``close`` would never return.
"""

import asyncio
import socket

from ragwortpaddled.transport import KeyRing, PeerServer

CLOSE_TIMEOUT_SECONDS = 2.0


class CancelSwallowingContext:
    """A pynng context that returns a message instead of raising the first cancellation."""

    def __init__(self) -> None:
        self.receive_calls = 0

    def __enter__(self) -> "CancelSwallowingContext":
        return self

    def __exit__(self, *details: object) -> None:
        return

    async def arecv(self) -> bytes:
        self.receive_calls += 1
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if self.receive_calls > 1:
                raise
        return b"not sealed"

    async def asend(self, data: bytes) -> None:
        return


class TestClose:
    async def test_close_returns_when_a_message_swallows_the_cancellation(
        self, tmp_path, monkeypatch
    ) -> None:
        key_file = tmp_path / "keys"
        key_file.write_text("first " + "a1" * 32 + "\n")
        with socket.socket() as free_socket:
            free_socket.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{free_socket.getsockname()[1]}"
        server = PeerServer(address, KeyRing(key_file), handler=None)
        contexts: list[CancelSwallowingContext] = []

        def new_context() -> CancelSwallowingContext:
            contexts.append(CancelSwallowingContext())
            return contexts[-1]

        monkeypatch.setattr(server._socket, "new_context", new_context)
        server.start()
        while not all(context.receive_calls for context in contexts):
            await asyncio.sleep(0)
        async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
            await server.close()
