"""Messages in many small pieces: no connection keeps the event loop from the others.

They guard against a daemon that answers nobody while it parses a response or a request whose size
is within its bounds, but whose pieces are not worth their cost.
"""

import asyncio
from collections.abc import AsyncIterator
from functools import partial

import pytest
from endless_messages import HEAD, LoopWatch, chunk, close_client, endless_chunks, upload
from ragwortpaddle_standins.relay_platform import EVENT_STREAM
from ragwortpaddled.errors import ReplyLostError, ReplyTimeoutError
from ragwortpaddled.relay import RelayDaemon
from ragwortpaddled.transport import (
    CallerLimits,
    Http1Client,
    Http1Pool,
    Http1Server,
    HttpClient,
    Responder,
    ServerRequest,
)
from relay_fleet import RelayTestBed

MAX_WAIT_SECONDS = 0.25  # of any other request of the daemon
CONNECTIONS = 5
READ_SECONDS = 1.0


class TestResponses:
    """Responses of endpoints, of peers that forward, and of the store."""

    @pytest.mark.parametrize("client_type", [Http1Client, HttpClient])
    @pytest.mark.parametrize("piece", [b"x", b"x" * 8, b"x" * 70, b"\n"])
    async def test_reader_leaves_the_loop_to_others(self, piece: bytes, client_type) -> None:
        client = client_type()

        async def read(address: str) -> None:
            with pytest.raises((ReplyTimeoutError, ReplyLostError)):
                await client.exchange("GET", f"http://{address}/", timeout_seconds=READ_SECONDS)

        async with endless_chunks(piece) as server, LoopWatch() as watch:
            await asyncio.gather(*(read(server.address) for _ in range(CONNECTIONS)))
            assert server.answered == CONNECTIONS
        assert watch.longest_seconds < MAX_WAIT_SECONDS
        await close_client(client)

    async def test_long_response_in_small_pieces_is_read_beside_endless_ones(self) -> None:
        """The reader takes its turns with those of the endless responses."""
        sent = b"0123456789" * 10_000

        async def answer(request: ServerRequest, responder: Responder) -> None:
            await responder.start(200, [])
            for offset in range(0, len(sent), 10):
                await responder.write(sent[offset : offset + 10])
            await responder.finish()

        sound, pool = Http1Server("127.0.0.1:0", answer), Http1Pool()
        await sound.start()
        async with endless_chunks(b"x") as server:
            endless = [await pool.acquire(server.address, fresh=True) for _ in range(CONNECTIONS)]
            for connection in endless:
                await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
            reads = [asyncio.create_task(connection.read_body()) for connection in endless]
            connection = await pool.acquire(sound.address)
            await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
            assert (await connection.read_head()).status == 200
            assert await connection.read_body() == sent
            assert connection.reusable
            for read, connection in zip(reads, endless, strict=True):
                read.cancel()
                connection.close()
            await asyncio.wait(reads)
        sound.stop_accepting()
        sound.abort()

    async def test_bytes_before_a_broken_chunk_are_returned_before_the_error(self) -> None:
        async def send_broken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD % 200 + chunk(b"one") + chunk(b"two") + b"no chunk\r\n")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(send_broken, "127.0.0.1", 0)
        pool = Http1Pool()
        connection = await pool.acquire("{}:{}".format(*server.sockets[0].getsockname()[:2]))
        await connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        await connection.read_head()
        body = b""
        with pytest.raises(ReplyLostError):
            while True:
                body += await connection.read_body_part() or b""
        assert body == b"onetwo"
        assert not connection.reusable
        connection.close()
        server.close()


class TestRequests:
    """Requests of callers, and of peers whose attempts are forwarded."""

    @pytest.fixture
    async def server(self) -> AsyncIterator[Http1Server]:
        async def answer(request: ServerRequest, responder: Responder) -> None:
            await responder.send(200, [], b"%d" % len(request.body))

        limits = CallerLimits(max_body_bytes=4_000_000, header_timeout_seconds=READ_SECONDS)
        server = Http1Server("127.0.0.1:0", answer, lambda: limits)
        await server.start()
        yield server
        server.stop_accepting()
        server.abort()

    async def test_upload_in_pieces_of_a_byte_leaves_the_loop_to_others(
        self, server: Http1Server
    ) -> None:
        """A body within the limits whose pieces take longer than its caller may take."""
        async with LoopWatch() as watch:
            first_lines = await asyncio.gather(
                *(upload(server, b"x", 1_000_000) for _ in range(CONNECTIONS))
            )
        assert watch.longest_seconds < MAX_WAIT_SECONDS
        assert all(line.startswith(b"HTTP/1.1 408") for line in first_lines)

    async def test_long_upload_in_usual_pieces_is_served(self, server: Http1Server) -> None:
        assert (await upload(server, b"x" * 1000, 1000)).startswith(b"HTTP/1.1 200")


def _has_entry(daemon: RelayDaemon, address: str) -> bool:
    return daemon._relay_directory.entry_at(address) is not None


class TestRelay:
    """A whole daemon beside endpoints that respond without end."""

    @pytest.mark.parametrize("status", [200, 500])
    @pytest.mark.parametrize("forwarded", [False, True], ids=["direct", "through a peer"])
    async def test_stream_of_a_sound_engine_is_complete(
        self, tmp_path, status: int, forwarded: bool
    ) -> None:
        """Small pieces from a service, also relayed by a peer, while an engine streams."""
        async with RelayTestBed(tmp_path) as testbed, endless_chunks(b"x", status) as server:
            daemon = testbed.daemon
            assert daemon is not None
            for desk in testbed.desks:
                desk.public_address = server.address
                desk.register()
            peer = await testbed.start_daemon("entry-2", testbed.store.address)
            await testbed.wait(lambda: bool(daemon._forwarding_peers.candidates()), "peers")
            for relay in (daemon, peer):
                await testbed.wait(partial(_has_entry, relay, server.address), "entries")
            daemon._reach_monitor._reach.cut = forwarded
            endless = [await testbed.send(b"POST", b"/book/1") for _ in range(CONNECTIONS)]
            await testbed.wait(lambda: server.answered == CONNECTIONS, "endless responses")
            async with LoopWatch() as watch:
                head, body = await testbed.ask(b"POST", b"/ask/1", b"a2")
            assert (head.status, body) == (200, EVENT_STREAM)
            assert watch.longest_seconds < MAX_WAIT_SECONDS
            for connection in endless:
                connection.close()
            await peer.shutdown()
