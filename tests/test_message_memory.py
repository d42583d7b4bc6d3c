"""Messages without end: a daemon's memory stays below a bound, and sound messages are not ended.

They guard against a daemon that keeps what faulty endpoints or callers send until its VM runs out
of memory, which ends the requests of all other callers.
"""

import asyncio
import logging
import tracemalloc
from collections.abc import Iterator

import pytest
from endless_messages import close_client, endless_chunks, upload
from ragwortpaddle_standins.relay_platform import EVENT_STREAM
from ragwortpaddled.errors import ReplyLostError
from ragwortpaddled.transport import (
    CallerLimits,
    Http1Client,
    Http1Server,
    HttpClient,
    Responder,
    ServerRequest,
    message_memory,
)
from ragwortpaddled.transport._message_memory import MessageMemory, RetainedMessage
from relay_fleet import RelayTestBed

# A VM has 300 MB, a daemon may use half of it, and 50 MB of that before the first request.
MAX_ADDED_BYTES = 100_000_000
CONNECTIONS = 60
PIECE = b"x" * 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
TIMEOUT_SECONDS = 20.0
ENDED = "incomplete message ended to free memory"


@pytest.fixture
def traced_memory() -> Iterator[None]:
    tracemalloc.start()
    yield
    tracemalloc.stop()


def peak_bytes() -> int:
    """Return the most bytes that were allocated at a time."""
    return tracemalloc.get_traced_memory()[1]


class TestMessageMemory:
    """Which message is ended."""

    @staticmethod
    def open_messages(memory: MessageMemory, *sources: str) -> list[RetainedMessage]:
        return [RetainedMessage(memory, source, lambda: None) for source in sources]

    def test_source_that_retains_most_loses_its_largest_message(self) -> None:
        memory = MessageMemory(max_bytes=100)
        long, small, large, small_too = self.open_messages(memory, "sound", "a", "a", "a")
        long.retain(40)
        small.retain(10)
        large.retain(30)
        small_too.retain(25)
        assert [m.ended for m in (long, small, large, small_too)] == [False, False, True, False]
        assert memory.retained_bytes == 75

    def test_complete_message_is_not_ended(self) -> None:
        memory = MessageMemory(max_bytes=100)
        complete, growing = self.open_messages(memory, "a", "a")
        complete.retain(80)
        complete.complete = True
        growing.retain(30)
        assert growing.ended
        assert not complete.ended

    def test_released_message_frees_its_bytes_and_can_grow_again(self) -> None:
        memory = MessageMemory(max_bytes=100)
        (message,) = self.open_messages(memory, "a")
        message.retain(101)
        assert message.ended
        message.release()
        message.retain(50)
        assert not message.ended
        assert memory.retained_bytes == 50

    def test_reader_is_woken(self) -> None:
        memory = MessageMemory(max_bytes=100)
        woken: list[bool] = []
        message = RetainedMessage(memory, "a", lambda: woken.append(True))
        message.retain(101)
        assert woken == [True]


class TestResponses:
    """Responses of endpoints and of the store."""

    @pytest.mark.parametrize("client_type", [Http1Client, HttpClient])
    async def test_many_without_end_stay_below_the_bound(self, traced_memory, client_type) -> None:
        """A long response of another endpoint, which arrives beside them, is read to its end."""
        sent = PIECE * 256

        async def answer(request: ServerRequest, responder: Responder) -> None:
            await responder.start(200, [])
            for offset in range(0, len(sent), len(PIECE)):
                await responder.write(sent[offset : offset + len(PIECE)])
            await responder.finish()

        sound, client = Http1Server("127.0.0.1:0", answer), client_type()
        await sound.start()

        async def read_endless(address: str) -> None:
            with pytest.raises(ReplyLostError):
                await client.exchange("GET", f"http://{address}/", timeout_seconds=TIMEOUT_SECONDS)

        async with endless_chunks(PIECE, 500) as server:
            reads = [asyncio.create_task(read_endless(server.address)) for _ in range(CONNECTIONS)]
            for _ in range(3):
                url = f"http://{sound.address}/"
                reply = await client.exchange("GET", url, timeout_seconds=TIMEOUT_SECONDS)
                assert reply.body == sent
            await asyncio.gather(*reads)
        assert peak_bytes() < MAX_ADDED_BYTES
        assert message_memory().retained_bytes == 0
        await close_client(client)
        sound.stop_accepting()
        sound.abort()


class TestRequests:
    """Requests of callers."""

    async def test_many_without_end_stay_below_the_bound(self, traced_memory) -> None:
        """A long request of a caller at another address is served beside them."""

        async def answer(request: ServerRequest, responder: Responder) -> None:
            await responder.send(200, [], b"%d" % len(request.body))

        limits = CallerLimits(max_body_bytes=MAX_BODY_BYTES, header_timeout_seconds=TIMEOUT_SECONDS)
        server = Http1Server("127.0.0.1:0", answer, lambda: limits)
        await server.start()
        endless = [
            asyncio.create_task(upload(server, PIECE, float("inf"))) for _ in range(CONNECTIONS)
        ]
        first_line = await upload(server, PIECE, 128, "127.0.0.2")
        assert first_line.startswith(b"HTTP/1.1 200")
        for line in await asyncio.gather(*endless):
            assert line.startswith((b"HTTP/1.1 503", b"HTTP/1.1 413"))
        assert peak_bytes() < MAX_ADDED_BYTES
        server.stop_accepting()
        server.abort()


class TestEvents:
    async def test_incomplete_event_counts_and_the_stream_goes_on_elsewhere(
        self, tmp_path, caplog
    ) -> None:
        caplog.set_level(logging.WARNING, "ragwortpaddled")
        async with RelayTestBed(tmp_path) as testbed:
            message_memory().max_bytes = 100_000
            connection = await testbed.send(b"POST", b"/ask/1")
            await connection.read_head()
            faulty = next(e for e in testbed.engines if e.received_requests)
            faulty.fault = "endless event"
            body = b""
            while (data := await connection.read_body_part()) is not None:
                body += data
        assert body == EVENT_STREAM
        assert [r.getMessage() for r in caplog.records].count(ENDED) == 1
