"""Peer sockets that are closed while a message is exchanged."""

import asyncio
import socket
from pathlib import Path

import pytest
from ragwortpaddled.errors import NotSentError, TransportError
from ragwortpaddled.transport import KeyRing, PeerClient, PeerServer

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


def make_key_ring(directory: Path) -> KeyRing:
    key_file = directory / "keys"
    key_file.write_text("first " + "a1" * 32 + "\n")
    return KeyRing(key_file)


def free_address() -> str:
    with socket.socket() as free_socket:
        free_socket.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free_socket.getsockname()[1]}"


class TestClose:
    async def test_close_returns_when_a_message_swallows_the_cancellation(
        self, tmp_path, monkeypatch
    ) -> None:
        """Without a check of its own the loop would run on, since pynng swallows it."""
        server = PeerServer(free_address(), make_key_ring(tmp_path), handler=None)
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


class TestClosedClient:
    async def test_request_in_flight_fails_with_a_transport_error(self, tmp_path) -> None:
        """The error of closing its context again hid the one that callers handle."""

        async def never_answer(body: bytes) -> bytes:
            await asyncio.Event().wait()
            return body

        keys = make_key_ring(tmp_path)
        server = PeerServer(free_address(), keys, never_answer)
        server.start()
        client = PeerClient(server.address, keys)
        request = asyncio.create_task(client.request(b"request", CLOSE_TIMEOUT_SECONDS))
        await asyncio.sleep(0.2)
        client.close()
        with pytest.raises(TransportError):
            await request
        await server.close()

    async def test_request_on_a_closed_client_was_not_sent(self, tmp_path) -> None:
        client = PeerClient(free_address(), make_key_ring(tmp_path))
        client.close()
        with pytest.raises(NotSentError):
            await client.request(b"request", CLOSE_TIMEOUT_SECONDS)
