"""A relay daemon in a process of its own, which is controlled by signals."""

import asyncio
import math
import os
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from soak._proxy import Cut, Proxy

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_SECONDS = 20.0
GRACE_PERIOD_SECONDS = 4.0
ZOMBIE_STATE = "Z"  # has ended, but the soak itself was delayed and has not reaped it yet


@dataclass
class CutSpan:
    """A time in which a daemon is cut off from all endpoints; on the monotonic clock."""

    cut: Cut
    started_at: float
    ended_at: float = math.inf


class Daemon:
    """One named daemon across its restarts, which keep its addresses.

    ``links`` are the proxies between it and each endpoint, at ``link_host``.
    """

    def __init__(
        self, name: str, directory: Path, store_address: str, ports: list[int], link_host: str
    ) -> None:
        self.name = name
        (
            self.address,
            self.ready_address,
            self._peer_address,
            self._metrics_address,
            self._forward_address,
        ) = (f"127.0.0.1:{port}" for port in ports)
        self.link_host = link_host
        self.links: list[Proxy] = []
        self.cut_spans: list[CutSpan] = []
        self.disturbances: list[tuple[float, float]] = []  # start and end times
        self.disturbed_until = 0.0
        self.unexpected_exits: list[str] = []
        self.log = directory / f"{name}.log"
        self._settings = directory / f"{name}.ini"
        self._store_address = store_address
        self._process: asyncio.subprocess.Process | None = None
        self._stop_requested = False
        self._exit_monitor: asyncio.Task[None] | None = None
        self._restart_lock = asyncio.Lock()

    def mark_disturbed(self, seconds: float, started_at: float | None = None) -> None:
        """Exempt the daemon from time limits for a time, since it or its links are disturbed."""
        now = time.monotonic()
        self.disturbances.append((now if started_at is None else started_at, now + seconds))
        self.disturbed_until = max(self.disturbed_until, now + seconds)

    def was_disturbed(self, start: float, end: float) -> bool:
        """Return whether the daemon was disturbed at any moment between two times."""
        return any(
            started_at <= end and start <= ended_at for started_at, ended_at in self.disturbances
        )

    def was_cut(self, start: float, end: float) -> bool:
        """Return whether the daemon was cut off at any moment between two times."""
        return any(span.started_at <= end and start <= span.ended_at for span in self.cut_spans)

    def has_logged(self, attempt_id: str) -> bool:
        """Return whether a log line of the daemon names a request."""
        return f'"{attempt_id}"'.encode() in self.log.read_bytes()

    @property
    def cut(self) -> Cut | None:
        """Return how the daemon is cut off at present, None if it is not."""
        last_span = self.cut_spans[-1] if self.cut_spans else None
        return last_span.cut if last_span and last_span.ended_at == math.inf else None

    def start_cut(self, cut: Cut) -> None:
        """Cut the daemon off from all endpoints."""
        self.cut_spans.append(CutSpan(cut, time.monotonic()))
        for link in self.links:
            link.start_cut(cut)

    async def end_cut(self) -> None:
        """Repair the links to all endpoints."""
        self.cut_spans[-1].ended_at = time.monotonic()
        for link in self.links:
            await link.end_cut()

    def write_settings(self, log_level: str = "info") -> None:
        """Write the settings file with a log level."""
        self._settings.write_text(
            f"[relay]\nname = {self.name}\ndata_centre = dc-a\nlisten = {self.address}\n"
            f"ready_listen = {self.ready_address}\npeer_listen = {self._peer_address}\n"
            f"metrics_listen = {self._metrics_address}\nforward_listen = {self._forward_address}\n"
            f"[store]\nurl = http://{self._store_address}\n"
            f"[end]\ngrace_seconds = {GRACE_PERIOD_SECONDS}\nbalancer_lag_ms = 800\n"
            f"[log]\nlevel = {log_level}\n"
        )

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self._stop_requested = False
        environment = {**os.environ, "RAGWORTPADDLE_NODE_FILE": str(self._settings)}
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "soak" / "_linked_daemon.py"),
                self.link_host,
                str(ROOT / "platform"),
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._exit_monitor = asyncio.create_task(self._monitor_exit(self._process))

    async def restart(self, signal_number: int) -> None:
        """Stop the process with a signal and start it again; concurrent calls run in turn."""
        async with self._restart_lock:
            await self.stop(signal_number)
            await self.start()

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def stop(self, signal_number: int = signal.SIGTERM) -> None:
        """Stop the process and wait for it; kill and record it if it exceeds the grace period."""
        self._stop_requested = True
        self.send_signal(signal_number)
        if self._process is None:
            return
        try:
            async with asyncio.timeout(GRACE_PERIOD_SECONDS + 1.0):
                await self._process.wait()
        except TimeoutError:
            state = _get_process_state(self._process.pid)
            if state != ZOMBIE_STATE:
                self.unexpected_exits.append(
                    f"not stopped within the grace period, process state {state}"
                )
                self.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def _monitor_exit(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if not self._stop_requested:
            self.unexpected_exits.append(f"exit status {status}")


def _get_process_state(pid: int) -> str:
    """Return the state letter of a process, which distinguishes a suspended from a hung one."""
    return Path(f"/proc/{pid}/stat").read_text().split()[2]
