"""A relay daemon as a process of its own, harmed by signals."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_SECONDS = 20.0
GRACE_SECONDS = 4.0
ENDED = "Z"  # the process is gone, and the soak itself was held up


class Daemon:
    """One name, through all its starts."""

    def __init__(self, name: str, directory: Path, store_address: str, ports: list[int]) -> None:
        self.name = name
        self.address, self.ready_address, self._peers, self._metrics = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.harmed_until = 0.0
        self.own_ends: list[str] = []
        self.log = directory / f"{name}.log"
        self._settings = directory / f"{name}.ini"
        self._store_address = store_address
        self._process: asyncio.subprocess.Process | None = None
        self._asked_to_end = False
        self._watch: asyncio.Task[None] | None = None
        self._turn = asyncio.Lock()

    def harm(self, seconds: float) -> None:
        """Note that the daemon or its links are disturbed from now on for a time."""
        self.harmed_until = max(self.harmed_until, time.monotonic() + seconds)

    def write_settings(self, level: str = "info") -> None:
        """Write the settings file."""
        self._settings.write_text(
            f"[relay]\nname = {self.name}\ndata_centre = dc-a\nlisten = {self.address}\n"
            f"ready_listen = {self.ready_address}\npeer_listen = {self._peers}\n"
            f"metrics_listen = {self._metrics}\n[store]\nurl = http://{self._store_address}\n"
            f"[end]\ngrace_seconds = {GRACE_SECONDS}\nbalancer_lag_ms = 800\n"
            f"[log]\nlevel = {level}\n"
        )

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self._asked_to_end = False
        environment = {**os.environ, "RAGWORTPADDLE_NODE_FILE": str(self._settings)}
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(ROOT / "platform"), env=environment, stdout=log, stderr=log
            )
        self._watch = asyncio.create_task(self._watch_end(self._process))

    async def restart(self, number: int) -> None:
        """End the process by a signal and start it again; one caller at a time."""
        async with self._turn:
            await self.end(number)
            await self.start()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self, number: int = signal.SIGTERM) -> None:
        """End the process and wait for it; kill it after the grace period."""
        self._asked_to_end = True
        self.send_signal(number)
        if self._process is None:
            return
        try:
            async with asyncio.timeout(GRACE_SECONDS + 1.0):
                await self._process.wait()
        except TimeoutError:
            state = _process_state(self._process.pid)
            if state != ENDED:
                self.own_ends.append(f"late, in state {state}")
                self.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def _watch_end(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if not self._asked_to_end:
            self.own_ends.append(f"status {status}")


def _process_state(pid: int) -> str:
    """Return the state letter of a process, which tells a stopped one from one that hangs."""
    return Path(f"/proc/{pid}/stat").read_text().split()[2]
