"""Starting the relay daemon as a process."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from ragwortpaddle_standins.relay_platform import ANY_PORT_ADDRESS

ROOT = Path(__file__).resolve().parent.parent
START_SECONDS = 20.0
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


@pytest.fixture
def process(tmp_path) -> Iterator[subprocess.Popen]:
    settings = tmp_path / "relay.ini"
    settings.write_text(
        f"[relay]\nname = entry-1\ndata_centre = dc-a\nlisten = {ANY_PORT_ADDRESS}\n"
        f"ready_listen = {ANY_PORT_ADDRESS}\npeer_listen = {ANY_PORT_ADDRESS}\n"
        f"metrics_listen = {ANY_PORT_ADDRESS}\n"
        "[store]\nurl = http://127.0.0.1:9\n"
    )
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "platform")],
        env={**os.environ, "RAGWORTPADDLE_NODE_FILE": str(settings)},
        stdout=subprocess.PIPE,
    )
    yield process
    process.kill()
    process.wait()


class TestSignals:
    def test_sighup_during_start_does_not_terminate_the_process(
        self, process: subprocess.Popen
    ) -> None:
        deadline = time.monotonic() + START_SECONDS
        while not _ignored_signals(process.pid) & SIGHUP_BIT:
            assert time.monotonic() < deadline, "SIGHUP is not ignored while modules are loaded"
        process.send_signal(signal.SIGHUP)
        assert b"starting" in process.stdout.readline()
        assert process.poll() is None


class TestImports:
    """All daemons may start at once on slow VMs, and callers wait meanwhile."""

    def test_relay_loads_no_library_that_it_does_not_use(self) -> None:
        listing = subprocess.run(
            [sys.executable, "-c", "import sys, ragwortpaddled.relay; print(*sys.modules)"],
            capture_output=True,
            check=True,
            text=True,
        )
        packages = {name.partition(".")[0] for name in listing.stdout.split()}
        assert not packages & {"aiohttp", "blacksheep", "uvicorn", "google", "requests", "defopt"}


def _ignored_signals(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("SigIgn:"))
    return int(line.split()[1], 16)
