"""Pauses of a daemon's process, around which endpoints, links and peers are sound.

A frozen process, or one that waits for its processor, runs its timers before it reads the bytes
that arrived meanwhile. The tests block the event loop, which pauses the stand-ins too.
"""

import asyncio
import logging
import random
import socket
import threading
import time
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import pytest
from ragwortpaddle_standins.relay_platform import EVENT_STREAM
from ragwortpaddled.errors import NotSentError, ReplyTimeoutError
from ragwortpaddled.relay import RelayDaemon
from ragwortpaddled.transport import (
    Http1Client,
    Http1Pool,
    KeyRing,
    LoopClock,
    PeerClient,
    PeerServer,
    loop_clock,
    running_timeout,
)
from relay_fleet import RelayFleet, RelayTestBed
from test_endpoint_reach import _Directory, new_monitor

PAUSES_SECONDS = (0.5, 0.7, 1.0, 1.5)
EVENT_INTERVAL_SECONDS = 0.05
BETWEEN_PAUSES_SECONDS = 0.6
WRONG_CONCLUSIONS = {
    "attempt failed",
    "attempt kept",
    "connection lost",
    "endpoint lost",
    "endpoint not confirmed as lost",
    "engine counted as lost",
    "engine report not read",
    "engines suspected by a peer",
    "link congested",
    "links to the endpoints lost",
    "peer lost",
}
ALL_PAUSES = pytest.mark.parametrize("seconds", PAUSES_SECONDS)


def pause_process(seconds: float) -> None:
    """Block the event loop, as a pause of the process does."""
    time.sleep(seconds)


@pytest.fixture
def listening_address() -> Iterator[str]:
    """Return an address at which the kernel accepts connections."""
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        yield f"127.0.0.1:{listening.getsockname()[1]}"


@pytest.fixture
def report_address() -> Iterator[str]:
    """Return an address at which a thread answers one request, 0.1 s after it arrived."""
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()

        def answer() -> None:
            connection, _ = listening.accept()
            with connection:
                connection.recv(65536)
                time.sleep(0.1)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

        thread = threading.Thread(target=answer)
        thread.start()
        yield f"127.0.0.1:{listening.getsockname()[1]}"
        thread.join()


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[RelayFleet]:
    async with RelayFleet(RelayTestBed(tmp_path)) as fleet:
        yield fleet


@ALL_PAUSES
class TestTransport:
    async def test_connection_that_was_accepted_meanwhile_is_used(
        self, listening_address: str, seconds: float
    ) -> None:
        acquiring = asyncio.create_task(Http1Pool().acquire(listening_address))
        await asyncio.sleep(0)
        pause_process(seconds)
        (await acquiring).close()

    async def test_reply_that_arrived_meanwhile_is_read(
        self, report_address: str, seconds: float
    ) -> None:
        """A report wasn't read, so its engine was taken for one that doesn't respond."""
        client = Http1Client()
        exchange = asyncio.create_task(
            client.exchange("GET", f"http://{report_address}/", timeout_seconds=0.3)
        )
        await asyncio.sleep(0.05)
        pause_process(seconds)
        assert (await exchange).status == 200
        client.close()

    async def test_peer_that_replies_just_after_a_pause_is_not_lost(
        self, tmp_path: Path, seconds: float
    ) -> None:
        keys = KeyRing()
        keys.load("first " + "a1" * 32 + "\n")
        started = threading.Event()
        stopped = threading.Event()
        addresses: list[str] = []

        async def reply(body: bytes) -> bytes:
            if body == b"second":
                await asyncio.sleep(seconds + 0.1)
            return body

        async def serve() -> None:
            server = PeerServer("127.0.0.1:0", keys, reply)
            server.start()
            addresses.append(server.address)
            started.set()
            while not stopped.is_set():
                await asyncio.sleep(0.01)
            await server.close()

        thread = threading.Thread(target=lambda: asyncio.run(serve()))
        thread.start()
        try:
            started.wait(5)
            client = PeerClient(addresses[0], keys)
            assert await client.request(b"first", 5.0) == b"first"
            request = asyncio.create_task(client.request(b"second", 0.5))
            await asyncio.sleep(0.05)
            pause_process(seconds)
            assert await request == b"second"
            client.close()
        finally:
            stopped.set()
            thread.join()


class TestRunningTimeout:
    async def test_silence_still_ends_the_wait(self, listening_address: str) -> None:
        with pytest.raises(ReplyTimeoutError):
            await Http1Client().exchange("GET", f"http://{listening_address}/", timeout_seconds=0.2)

    async def test_address_that_does_not_accept_is_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def never(address: str) -> None:
            await asyncio.Event().wait()

        monkeypatch.setattr("ragwortpaddled.transport._http1_client.connect", never)
        started_at = time.monotonic()
        with pytest.raises(NotSentError):
            await Http1Pool().acquire("127.0.0.1:1")
        assert time.monotonic() - started_at >= 0.4

    async def test_wait_ends_though_the_process_pauses_again_and_again(self) -> None:
        async def pause() -> None:
            while True:
                pause_process(0.15)
                await asyncio.sleep(0)

        pausing = asyncio.create_task(pause())
        try:
            async with asyncio.timeout(20):
                with pytest.raises(TimeoutError):
                    async with running_timeout(0.3):
                        await asyncio.Event().wait()
        finally:
            pausing.cancel()

    async def test_cancellation_from_outside_is_no_timeout(self) -> None:
        async def wait() -> None:
            async with running_timeout(5.0):
                await asyncio.Event().wait()

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    async def test_clock_does_not_count_a_pause(self) -> None:
        clock: LoopClock = loop_clock()
        await asyncio.sleep(0.01)
        before = clock.time()
        pause_process(1.0)
        assert clock.time() - before < 0.2
        await asyncio.sleep(0.1)
        assert 0.1 <= clock.time() - before < 0.4

    async def test_pause_is_logged(self, caplog: pytest.LogCaptureFixture) -> None:
        caplog.set_level(logging.INFO)
        loop_clock()
        await asyncio.sleep(0.01)
        pause_process(1.0)
        await asyncio.sleep(0.2)
        (record,) = [r for r in caplog.records if r.message == "process paused"]
        assert record.fields["ms"] >= 900


class TestReachMonitor:
    async def test_streams_whose_bytes_are_unread_are_not_silent(self) -> None:
        monitor = new_monitor(_Directory(6), set(), peer_answer=None)
        for address in ("address-0", "address-1"):
            monitor.record_stream_opened(address)
        monitor.record_received()
        await asyncio.sleep(0.01)
        pause_process(1.0)
        assert not monitor._all_streams_silent()
        async with asyncio.timeout(5):
            while not monitor._all_streams_silent():
                await asyncio.sleep(0.01)


class TestDaemons:
    async def test_nothing_is_concluded_from_pauses(
        self, fleet: RelayFleet, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A paused daemon took peers and engines for lost, and replaced streams that went on."""
        testbed = fleet.testbed
        for engine in testbed.engines:
            engine.event_interval_seconds = EVENT_INTERVAL_SECONDS
        caplog.set_level(logging.INFO)
        numbers = random.Random(1)
        served = 0
        calling = True

        async def call(daemon: RelayDaemon, method: bytes, path: bytes) -> None:
            nonlocal served
            while calling:
                attempt = b"a%d" % numbers.randrange(10**9)
                _, body = await testbed.ask(method, path, attempt, daemon, deadline=b"20000")
                served += body == EVENT_STREAM

        callers = [
            asyncio.create_task(call(daemon, method, path))
            for daemon in fleet.daemons
            for method, path in 2 * [(b"POST", b"/ask/1"), (b"GET", b"/look/1")]
        ]
        for seconds in PAUSES_SECONDS * 2:
            await asyncio.sleep(BETWEEN_PAUSES_SECONDS + numbers.uniform(0.0, 0.2))
            pause_process(seconds)
        calling = False
        await asyncio.gather(*callers)
        assert served
        wrong = [r.message for r in caplog.records if r.message in WRONG_CONCLUSIONS]
        assert not wrong
