"""A short soak run with one seed, and its own parts; soak/SEEDS.md lists the seeds that failed."""

import asyncio
import random
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from soak._callers import RequestRecord
from soak._daemon import CutSpan, Daemon
from soak._faults import fail_endpoint_requests
from soak._installation import Installation, find_free_port
from soak._invariants import find_violations
from soak._proxy import Cut, Proxy

ROOT = Path(__file__).resolve().parent.parent
RUN_TIMEOUT_SECONDS = 120.0  # covers start, faults, recovery and stop; a hung run fails


class TestSoak:
    def test_invariants_hold_under_injected_faults(self, tmp_path) -> None:
        run = subprocess.run(
            [sys.executable, "-m", "soak", "--seconds", "6", "--logs", str(tmp_path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
        )
        assert run.returncode == 0, run.stdout + run.stderr


class TestCutLink:
    @pytest.fixture
    async def link(self) -> AsyncIterator[Proxy]:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        link = Proxy(f"{host}:{port}")
        await link.start("127.0.0.1", find_free_port("127.0.0.1"))
        yield link
        await link.stop()
        server.close()

    async def connect(self, link: Proxy) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = link.address.partition(":")
        async with asyncio.timeout(0.5):
            return await asyncio.open_connection(host, int(port))

    async def echo(self, connection: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> bytes:
        reader, writer = connection
        writer.write(b"x")
        async with asyncio.timeout(0.5):
            return await reader.read(1)

    async def test_hanging_link_is_silent_and_then_delivers(self, link: Proxy) -> None:
        connection = await self.connect(link)
        assert await self.echo(connection) == b"x"
        link.start_cut(Cut.HANG)
        with pytest.raises(TimeoutError):
            await self.connect(link)
        with pytest.raises(TimeoutError):
            await self.echo(connection)
        await link.end_cut()
        async with asyncio.timeout(5.0):
            assert await connection[0].read(1) == b"x"
        assert await self.echo(await self.connect(link)) == b"x"

    async def test_refusing_link_keeps_existing_connections(self, link: Proxy) -> None:
        connection = await self.connect(link)
        assert await self.echo(connection) == b"x"
        link.start_cut(Cut.REFUSE)
        with pytest.raises(ConnectionRefusedError):
            await self.connect(link)
        assert await self.echo(connection) == b"x"
        await link.end_cut()
        assert await self.echo(await self.connect(link)) == b"x"

    async def test_reset_link_resets_existing_connections(self, link: Proxy) -> None:
        connection = await self.connect(link)
        assert await self.echo(connection) == b"x"
        link.start_cut(Cut.RESET)
        with pytest.raises(ConnectionResetError):
            await connection[0].read(1)
        with pytest.raises(ConnectionRefusedError):
            await self.connect(link)


class TestInvariantsDuringCuts:
    CUT_STARTED_AT = 100.0

    @pytest.fixture
    def installation(self, tmp_path) -> Installation:
        """Return an installation that was never started, whose first daemon was cut off."""
        installation = Installation(tmp_path, random.Random(1))
        for index in range(3):
            daemon = Daemon(f"entry-{index}", tmp_path, "", [1, 2, 3, 4, 5], "127.0.1.1")
            daemon.log.touch()
            installation.daemons.append(daemon)
        span = CutSpan(Cut.RESET, self.CUT_STARTED_AT, self.CUT_STARTED_AT + 8)
        installation.daemons[0].cut_spans.append(span)
        return installation

    def records(
        self, installation: Installation, index: int, count: int, status: int
    ) -> list[RequestRecord]:
        """Return records of complete responses, sent 4 s after the start of the cut."""
        daemon = installation.daemons[index]
        sent_at = self.CUT_STARTED_AT + 4
        return [
            RequestRecord(f"r{i}", "once", daemon, sent_at, sent_at + 0.1, status, complete=True)
            for i in range(count)
        ]

    def test_failures_at_a_daemon_that_is_cut_off_are_found(self, installation) -> None:
        records = self.records(installation, 0, 11, 502)
        assert find_violations(installation, records) == [
            "11 of 11 requests failed at daemons cut off"
        ]
        assert not find_violations(installation, records[:10])

    def test_daemon_that_is_cut_off_is_compared_with_the_others(self, installation) -> None:
        failed = [r for index in (0, 1) for r in self.records(installation, index, 20, 502)]
        for served_count, is_broken in ((10, True), (40, False)):
            served = self.records(installation, 0, served_count, 200)
            elsewhere = self.records(installation, 1, 200, 200)
            violations = find_violations(installation, failed + served + elsewhere)
            assert any("cut off served a share" in v for v in violations) == is_broken

    def test_requests_beside_other_disturbances_are_not_counted(self, installation) -> None:
        installation.daemons[1].disturbances.append((self.CUT_STARTED_AT, self.CUT_STARTED_AT + 9))
        records = self.records(installation, 0, 11, 502)
        assert find_violations(installation, records)
        installation.daemons[2].disturbances.append((self.CUT_STARTED_AT, self.CUT_STARTED_AT + 9))
        assert not find_violations(installation, records)

    @pytest.mark.parametrize(
        ("started_after_cut", "seconds", "is_lost"),
        [(-0.1, 0.2, False), (2.9, 0.2, False), (3.1, 0.2, True), (3.1, 3.1, False)],
    )
    def test_request_that_was_read_and_lost_is_found(
        self, installation, started_after_cut: float, seconds: float, is_lost: bool
    ) -> None:
        sent_at = self.CUT_STARTED_AT + started_after_cut
        daemon = installation.daemons[0]
        record = RequestRecord("r1", "once", daemon, sent_at, sent_at + seconds, 200)
        assert any("was lost" in v for v in find_violations(installation, [record])) == is_lost
        record.status = 0
        assert not find_violations(installation, [record])
        daemon.log.write_text('{"request": "r1"}')
        assert any("was lost" in v for v in find_violations(installation, [record])) == is_lost
        installation.fault_calls.append((fail_endpoint_requests, sent_at - 1, sent_at))
        assert not find_violations(installation, [record])
