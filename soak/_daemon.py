"""A relay daemon in a process of its own, which is controlled by signals."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_SECONDS = 20.0
GRACE_PERIOD_SECONDS = 4.0
ZOMBIE_STATE = "Z"  # has ended, but the soak itself was delayed and has not reaped it yet


class Daemon:
    """One named daemon across its restarts, which keep its addresses."""

    def __init__(self, name: str, directory: Path, store_address: str, ports: list[int]) -> None:
        self.name = name
        self.address, self.ready_address, self._peer_address, self._metrics_address = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.disturbed_until = 0.0
        self.unexpected_exits: list[str] = []
        self.log = directory / f"{name}.log"
        self._settings = directory / f"{name}.ini"
        self._store_address = store_address
        self._process: asyncio.subprocess.Process | None = None
        self._stop_requested = False
        self._exit_monitor: asyncio.Task[None] | None = None
        self._restart_lock = asyncio.Lock()

    def mark_disturbed(self, seconds: float) -> None:
        """Exempt the daemon from time limits for a time, since it or its links are disturbed."""
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def write_settings(self, log_level: str = "info") -> None:
        """Write the settings file with a log level."""
        self._settings.write_text(
            f"[relay]\nname = {self.name}\ndata_centre = dc-a\nlisten = {self.address}\n"
            f"ready_listen = {self.ready_address}\npeer_listen = {self._peer_address}\n"
            f"metrics_listen = {self._metrics_address}\n"
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
                sys.executable, str(ROOT / "platform"), env=environment, stdout=log, stderr=log
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
