"""Starts a small fleet of real processes on loopback, for tests, demos and benchmarks."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
LISTEN_PORT_RANGE = (10_240, 32_000)
PEER_KEY_FILE_TEXT = "first " + "5a" * 32 + "\n"


_allocated_ports: set[int] = set()


class StartError(Exception):
    """A process did not start, or a command ended with an unexpected exit code."""


def free_address() -> str:
    """Return a loopback ``host:port`` whose port is free and not allocated before.

    The port is below the ephemeral range: an outgoing connection could otherwise take it between
    this probe and the start of the process that listens on it.
    """
    random_source = random.SystemRandom()
    while True:
        port = random_source.randrange(*LISTEN_PORT_RANGE)
        if port in _allocated_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _allocated_ports.add(port)
        return f"127.0.0.1:{port}"


def wait_until(
    condition: Any, description: str, timeout_seconds: float = START_TIMEOUT_SECONDS
) -> Any:
    """Poll a condition and return its first true value.

    :raises TimeoutError: no true value within the timeout
    """
    deadline = time.monotonic() + timeout_seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise TimeoutError(f"{description}: not within {timeout_seconds} s")
        time.sleep(POLL_INTERVAL_SECONDS)


def fetch_json(url: str, body: object | None = None, method: str = "") -> Any:
    """Send an HTTP request with an optional JSON body and return the decoded JSON response."""
    data = None if body is None else json.dumps(body).encode()
    method = method or ("GET" if data is None else "POST")
    request = urllib.request.Request(url, data, method=method)
    request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=10) as response:
        text = response.read()
    return json.loads(text) if text else None


def returns_ok(url: str) -> bool:
    """Return whether a GET of a URL returns status 200."""
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return bool(response.status == 200)
    except (urllib.error.URLError, OSError):
        return False


@dataclass
class Process:
    """One process of the fleet and its log file."""

    name: str
    address: str
    popen: "subprocess.Popen[bytes]"
    log_path: Path

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    def wait_until_serving(self, path: str) -> None:
        """Wait until a GET of a path returns status 200.

        :raises StartError: the process ended before
        """

        def is_serving() -> bool:
            if self.popen.poll() is not None:
                raise StartError(
                    f"{self.name} ended while starting:\n{self.log_path.read_text()[-2000:]}"
                )
            return returns_ok(f"{self.url}{path}")

        wait_until(is_serving, f"{self.name} serves")

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        self.popen.kill()
        self.popen.wait()

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self, timeout_seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Send SIGTERM, wait until the process has ended and return its exit code."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(timeout_seconds)

    def set_faults(self, **values: object) -> None:
        """Replace the injected faults of a stand-in; those not named are cleared."""
        fetch_json(f"{self.url}/faults", values)


@dataclass(frozen=True)
class EngineShape:
    """The layers, speed and batch limit of one engine."""

    first_layer: int
    end_layer: int
    accelerator: str = "fast"
    max_batch: int = 64
    batch_base_ms: float = 4.0


@dataclass
class Fleet:
    """A platform, engines, services and daemons, each as a process of its own."""

    directory: Path
    data_centres: tuple[str, ...] = ("dc-a", "dc-b", "dc-c")
    traces: bool = False
    balancer_lag_ms: int = 200
    list_lag_ms: int = 0
    log_level: str = "info"
    daemon_module: tuple[str, ...] = ("ragwortpaddled",)
    processes: dict[str, Process] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        self.peer_key_path = self.directory / "peer-keys"
        self.peer_key_path.write_text(PEER_KEY_FILE_TEXT)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def platform(self) -> Process:
        """Return the process of the platform."""
        return self.processes["platform"]

    @property
    def daemons(self) -> list[Process]:
        """Return the processes of the daemons, sorted by name."""
        daemons = [p for name, p in self.processes.items() if name.startswith("entry-")]
        return sorted(daemons, key=lambda daemon: daemon.name)

    def start_platform(self) -> Process:
        """Start the platform."""
        address = free_address()
        arguments = ["--listen", address, "--list-lag-ms", str(self.list_lag_ms)]
        process = self._start("platform", address, "ragwortpaddle_standins.platform", arguments)
        process.wait_until_serving("/calls")
        return process

    def start_engine(
        self,
        name: str,
        pool: str,
        layers: int,
        shape: EngineShape,
        data_centre: str = "dc-a",
        address: str = "",
        ignore_fencing: bool = False,
    ) -> Process:
        """Start an engine and add it to the platform's VM list."""
        address = address or free_address()
        arguments = ["--listen", address, "--model-name", pool, "--layers", str(layers)]
        arguments += ["--first-layer", str(shape.first_layer), "--end-layer", str(shape.end_layer)]
        arguments += ["--accelerator", shape.accelerator, "--max-batch", str(shape.max_batch)]
        arguments += ["--batch-base-ms", str(shape.batch_base_ms)]
        if ignore_fencing:
            arguments.append("--ignore-fencing")
        process = self._start(name, address, "ragwortpaddle_standins.engine", arguments)
        process.wait_until_serving("/v1/status")
        self.put_vm(name, "endpoint", address, data_centre, pool)
        return process

    def start_service(self, name: str, pool: str, data_centre: str = "dc-a") -> Process:
        """Start a plain service and add it to the platform's VM list."""
        address = free_address()
        process = self._start(
            name, address, "ragwortpaddle_standins.service", ["--listen", address]
        )
        process.wait_until_serving("/v1/status")
        self.put_vm(name, "endpoint", address, data_centre, pool)
        return process

    def start_daemon(
        self, name: str, data_centre: str = "dc-a", seeds: str = "", wait: bool = True
    ) -> Process:
        """Start a daemon and add it to the platform's VM list."""
        address, peer_address = free_address(), free_address()
        settings = self.directory / f"{name}.ini"
        traces = "none"
        if self.traces:
            traces = f"file\ntrace_file = {self.directory / 'traces.jsonl'}"
        settings.write_text(f"""[daemon]
name = {name}
data_centre = {data_centre}
listen = {address}
peer_listen = {peer_address}
[platform]
url = {self.platform.url}
timeout_ms = 1000
[peers]
key_file = {self.peer_key_path}
seeds = {seeds}
[shutdown]
balancer_lag_ms = {self.balancer_lag_ms}
[telemetry]
traces = {traces}
log_level = {self.log_level}
""")
        module, *arguments = self.daemon_module
        process = self._start(name, address, module, [*arguments, str(settings)])
        self.put_vm(name, "entry", address, data_centre, peer_address=peer_address)
        if wait:
            process.wait_until_serving("/healthz")
        return process

    def put_vm(
        self,
        name: str,
        role: str,
        address: str,
        data_centre: str,
        pool: str = "",
        peer_address: str = "",
        state: str = "live",
    ) -> None:
        """Add or replace an entry of the platform's VM list."""
        vm = {
            "name": name,
            "role": role,
            "address": address,
            "data_centre": data_centre,
            "pool": pool,
            "peer_address": peer_address,
            "state": state,
        }
        fetch_json(f"{self.platform.url}/vms", vm, "PUT")

    def run_cli(self, *arguments: str | Path, expect: int | None = 0) -> str:
        """Run the operators' command line and return its standard output and standard error.

        :raises StartError: the exit code is not the expected one
        """
        command = [sys.executable, "-m", "ragwortpaddle", *map(str, arguments)]
        if arguments[0] != "check":
            command += ["--platform", self.platform.url]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if expect is not None and result.returncode != expect:
            raise StartError(
                f"{command}: exit code {result.returncode}\n{result.stdout}{result.stderr}"
            )
        return result.stdout + result.stderr

    def publish(self, *files: Path) -> None:
        """Apply object files and publish them."""
        self.run_cli("apply", *files)
        self.run_cli("publish")

    def wait_ready(self) -> None:
        """Wait until every daemon is ready and has a fresh report of every listed endpoint."""
        listed = fetch_json(f"{self.platform.url}/vms")["vms"]
        endpoint_names = {vm["name"] for vm in listed if vm["role"] == "endpoint"}
        for daemon in self.daemons:
            wait_until(lambda d=daemon: returns_ok(f"{d.url}/readyz"), f"{daemon.name} ready")
            wait_until(
                lambda d=daemon: endpoint_names <= self._get_usable_endpoint_names(d),
                f"{daemon.name} can use the listed endpoints",
            )

    def stop(self) -> dict[str, int]:
        """Stop every process, daemons first, and return the exit codes of the daemons by name."""
        exit_code_by_name = {}
        daemons = [d for d in self.daemons if d.popen.poll() is None]
        for daemon in daemons:
            daemon.resume()
            daemon.popen.send_signal(signal.SIGTERM)
        for daemon in daemons:
            try:
                exit_code_by_name[daemon.name] = daemon.popen.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                daemon.kill()
                exit_code_by_name[daemon.name] = -signal.SIGKILL
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.kill()
        self.processes.clear()
        return exit_code_by_name

    def _get_usable_endpoint_names(self, daemon: Process) -> set[str]:
        status = fetch_json(f"{daemon.url}/status")
        return {e["name"] for e in status["endpoints"] if e["fresh"] and e["usable"]}

    def _start(self, name: str, address: str, module: str, arguments: list[str]) -> Process:
        log = self.directory / f"{name}.log"
        with log.open("ab") as out:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=out,
                stderr=out,
                env={**os.environ, "PYTHONHASHSEED": "0"},
            )
        process = Process(name, address, popen, log)
        self.processes[name] = process
        return process
