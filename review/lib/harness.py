"""Stand-ins for the platform, servers and clients of the review's scripts; standard library only.

Everything listens on loopback addresses. The daemon is started with the command of
``deploy/system.toml``, and its settings are made from ``platform/settings.ini.template``.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a script
HEARTBEAT_SECONDS = 1.2
STORE_ANSWER_SECONDS = 0.004
DRAIN_TIMEOUT_SECONDS = 2.0  # drainTimeoutMs of the deployments
CONTACT_SECONDS = 3.0  # contactMs
HOST = "desk.example"
KEY = "key-of-the-bench"
TENANT = "workshop-1"
CASE_SECONDS = 105.0
MAX_OWN_LAG_SECONDS = 0.25  # of the process of the stand-ins; beyond it the case is not judged
HISTORY_LENGTH = 100_000


class NotRunError(Exception):
    """The case could not run."""


@dataclass
class Request:
    """A request as a server stand-in has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float

    @property
    def attempt_id(self) -> str:
        return self.headers.get("x-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message; raise EOFError at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a chunked body, empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


class Server:
    """An HTTP/1.1 server on a loopback address."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, 0, backlog=512)
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def accepts(self) -> bool:
        return True

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.accepts():
            writer.transport.abort()
            return
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                received_at = time.monotonic()
                body = b""
                if headers.get("transfer-encoding"):
                    while chunk := await read_chunk(reader):
                        body += chunk
                else:
                    body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, body, received_at)
                await self._handle_unless_closed(request, reader, writer)
        except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle_unless_closed(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle a request, and drop it if its connection closes."""
        task = asyncio.create_task(self.handle(request, writer))
        try:
            while not task.done():
                await asyncio.wait([task], timeout=0.01)
                if writer.transport.is_closing() or reader.at_eof():
                    if not task.done():
                        task.cancel()
                        await asyncio.wait([task])
                        raise ConnectionResetError
            task.result()
        finally:
            task.cancel()

    @staticmethod
    def send(
        writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        lines = [f"HTTP/1.1 {status} x", *(f"{k}: {v}" for k, v in headers.items())]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Store(Server):
    """The platform's metadata store, as PROTOCOL.md describes it.

    ``page_size`` is the largest number of objects in one response to a list. While ``down``, every
    connection is reset. An entry of a server is removed after three heartbeat intervals of silence,
    also while the store is down.
    """

    def __init__(self, host: str, page_size: int = 500) -> None:
        super().__init__(host)
        self.page_size = page_size
        self.revision = 100
        self.objects: dict[str, dict] = {}
        self.calls: list[tuple[float, str, str]] = []
        self.list_calls: list[tuple[float, str, str]] = []
        self.down = False
        self.after_first_page: Callable[[], None] | None = None  # of a list of servers; once
        self._events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._beat_at: dict[str, float] = {}
        self._sweeper: asyncio.Task | None = None

    async def start(self) -> None:
        await super().start()
        self._sweeper = asyncio.create_task(self._sweep())

    def accepts(self) -> bool:
        return not self.down

    def set_down(self, down: bool) -> None:
        self.down = down
        if down:
            self.reset_connections()

    def put(self, kind: str, name: str, spec: object) -> int:
        key = f"{kind}/{name}"
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[key] = stored
        self._record(key, stored, removed=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        stored = self.objects.pop(f"{kind}/{name}", None)
        if stored is not None:
            self.revision += 1
            self._record(f"{kind}/{name}", stored, removed=True)

    def beat(self, name: str) -> None:
        """Take a server's heartbeat, unless the store is down."""
        if not self.down:
            self._beat_at[name] = time.monotonic()

    def _record(self, key: str, stored: dict, *, removed: bool) -> None:
        self._events.append((self.revision, key, stored, removed))
        del self._events[:-HISTORY_LENGTH]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for name, beat_at in list(self._beat_at.items()):
                if now - beat_at > 3 * HEARTBEAT_SECONDS:
                    del self._beat_at[name]
                    self.remove("servers", name)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        url = urlsplit(request.target)
        parts = [unquote(part) for part in url.path.removeprefix("/api/objects/").split("/")]
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls.append((time.monotonic(), request.method, request.target))
        await asyncio.sleep(STORE_ANSWER_SECONDS)
        status, body = await self._answer(request, parts, query)
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        self.send(writer, status, headers, json.dumps(body).encode())

    async def _answer(
        self, request: Request, parts: list[str], query: dict[str, str]
    ) -> tuple[int, object]:
        kind = parts[0]
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        if request.method == "GET" and len(parts) == 1:
            return 200, self._list(kind, query.get("startAfter", ""))
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        if request.method == "POST":
            name = metadata["name"]
            if f"{kind}/{name}" in self.objects:
                return 409, self.objects[f"{kind}/{name}"]
            self.put(kind, name, body.get("spec"))
            return 201, self.objects[f"{kind}/{name}"]
        stored = self.objects.get("/".join(parts[:2]))
        if stored is None:
            return 404, {"error": "no such object"}
        if request.method == "GET":
            return 200, stored
        expected = query.get("revision") or metadata.get("revision")
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return 409, stored
        if request.method == "DELETE":
            self.remove(*parts[:2])
            return 200, stored
        if stored["spec"] != body.get("spec"):
            self.put(kind, parts[1], body.get("spec"))
        return 200, self.objects["/".join(parts[:2])]

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(
            o["metadata"]["name"] for k, o in self.objects.items() if k.startswith(kind + "/")
        )
        names = [name for name in names if name > after]
        page = names[: self.page_size]
        self.list_calls.append((time.monotonic(), kind, after))
        answer = {
            "items": [self.objects[f"{kind}/{name}"] for name in page],
            "hasMore": len(names) > len(page),
            "storeRevision": self.revision,
        }
        if kind == "servers" and not after and self.after_first_page is not None:
            call_back, self.after_first_page = self.after_first_page, None
            asyncio.get_running_loop().call_soon(call_back)
        return answer

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, object]:
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"object": stored, "removed": removed}
                for revision, key, stored, removed in reversed(self._events)
                if revision > after and key.startswith(kind + "/")
            ][::-1]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


@dataclass(eq=False)
class Replica(Server):
    """A replica of a plain service: ``slots`` requests at once, each for ``work_seconds``.

    It queues up to ``queue`` more, and refuses what is beyond that.
    """

    store: Store
    id: str
    service: str
    host: str
    work_seconds: float = 0.09
    slots: int = 6
    queue: int = 24
    zone: str = "zone-a"
    leaving: bool = False
    arrivals: list[tuple[float, str]] = field(default_factory=list)  # time, attempt
    runs: dict[str, str] = field(default_factory=dict)  # attempt: began, ended or cut
    run_at: dict[str, float] = field(default_factory=dict)
    exited_at: float = 0.0

    def __post_init__(self) -> None:
        Server.__init__(self, self.host)
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Condition()
        self.born = int(time.time() * 1000)
        self._beats: asyncio.Task | None = None

    def spec(self, state: str = "ready") -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": 1,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": 1,
            "born": self.born,
        }

    async def start(self) -> None:
        await super().start()
        self.store.put("servers", self.id, self.spec())
        self.store.beat(self.id)
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.store.beat(self.id)
            if not self.store.down and f"servers/{self.id}" not in self.store.objects:
                self.store.put("servers", self.id, self.spec())  # it lapsed in an outage

    def stop_heartbeats(self) -> None:
        if self._beats is not None:
            self._beats.cancel()

    def exit(self) -> None:
        """End the process of the replica."""
        self.exited_at = time.monotonic()
        self.stop_heartbeats()
        for attempt, state in self.runs.items():
            if state == "began":
                self.runs[attempt] = "cut"
        self.stop()

    def answer_headers(self, request: Request) -> dict[str, str]:
        headers = {
            "X-Attempt-Id": request.attempt_id,
            "X-Server-Seal": f"seal.{self.id}.{request.attempt_id}",
            "X-Replica-Load": f"{self.running},{self.waiting},{self.slots}",
        }
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.headers.get("x-expect-replica", self.id) != self.id:
            self.send(writer, 421, {"X-Attempt-Id": request.attempt_id}, b"")
            return
        self.arrivals.append((request.received_at, request.attempt_id))
        if self.running >= self.slots and self.waiting >= self.queue:
            headers = {**self.answer_headers(request), "X-Not-Executed": "1"}
            self.send(writer, 503, headers, b"")
            return
        self.waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self.running < self.slots)
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs[request.attempt_id] = "began"
        self.run_at[request.attempt_id] = time.monotonic()
        try:
            await self.work(request, writer)
            self.runs[request.attempt_id] = "ended"
        finally:
            if self.runs[request.attempt_id] == "began":
                self.runs[request.attempt_id] = "dropped"
            self.running -= 1
            async with self._free:
                self._free.notify()

    async def work(self, request: Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.work_seconds)
        self.send(writer, 200, self.answer_headers(request), f"done by {self.id}".encode())


class Engine(Replica):
    """A model replica that streams events; it holds the layers that it was ordered to hold."""

    event_count = 75
    event_seconds = 0.008
    layers: tuple[int, int] | None = None
    fence = 0
    seq = 0

    def spec(self, state: str = "ready") -> dict:
        spec = {**super().spec(state), "kind": "card", "seq": self.seq}
        if self.layers is not None:
            spec["layers"] = {"from": self.layers[0], "target": self.layers[1], "version": 1}
        return spec

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.target == "/api/report":
            self._send_json(writer, 200, self._report())
        elif request.target == "/api/order":
            self._take_order(json.loads(request.body), writer)
        else:
            await super().handle(request, writer)

    def _send_json(self, writer: asyncio.StreamWriter, status: int, value: object) -> None:
        headers = {"Content-Type": "application/json"}
        self.send(writer, status, headers, json.dumps(value).encode())

    def _report(self) -> dict:
        report = {"busy": False, "seq": self.seq, "waiting": self.waiting, "running": self.running}
        if self.layers is not None:
            report["layers"] = {"from": self.layers[0], "target": self.layers[1], "version": 1}
        return {**report, "kvUsed": 0, "kvTotal": 400_000, "pace": 1.0, "stalled": []}

    def _take_order(self, order: dict, writer: asyncio.StreamWriter) -> None:
        if order.get("fence", 0) < self.fence:
            self._send_json(writer, 412, {})
            return
        self.fence = order.get("fence", 0)
        self.seq += 1
        self.layers = (order["from"], order["target"])
        self.store.put("servers", self.id, self.spec())
        self._send_json(writer, 202, {})

    async def work(self, request: Request, writer: asyncio.StreamWriter) -> None:
        headers = {**self.answer_headers(request), "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id") or "0") + 1
        for number in range(first, self.event_count + 1):
            await asyncio.sleep(self.event_seconds)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def model_service(name: str, layers: int = 8) -> dict:
    """Return a service of engines, of which two hold all layers together."""
    engine = {
        "slots": 96,
        "kvTokenBytes": 800000,
        "layers": layers,
        "layerMb": 1000.0,
        "step_ms": 0.85,
        "per_seq_ms": 0.005,
        "context_per_k": 0.007,
        "read_per_s": 272000.0,
        "usual": {"prompt": 760, "answer": 150},
        "activationBytes": 40000,
        "pipeMbps": 6500.0,
        "loads_at_once": 2,
        "stride": 2,
        "kinds": [{"name": "card", "mb": 8000.0, "pace": 3.0, "readX": 3.0}],
    }
    return {"name": name, "maxConns": 978, "engine": engine}


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2500,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "public": False,
        **fields,
    }


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


def render(template: str, fields: dict) -> str:
    """Fill in the placeholders of a settings template, those of the form ``{{a.b}}`` only."""

    def value(match: re.Match) -> str:
        found: object = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]  # type: ignore
        return str(found)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


class Daemon:
    """A daemon in a process of its own, with the settings that the platform would give it."""

    def __init__(self, name: str, host: str, store: Store, folder: Path) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["relay"]
        self.name = name
        self._command = role["run"].split()
        ports = [free_port(host) for _ in range(4)]
        self.address = f"{host}:{ports[0]}"
        self.ready_address = f"{host}:{ports[1]}"
        self.log_path = folder / f"{name}.log"
        self.memory_mb = 300
        self._settings_path = folder / f"{name}.ini"
        self._settings_path.write_text(
            render(
                (ROOT / role["template"]).read_text(),
                {
                    "nodeName": name,
                    "zone": "zone-a",
                    "ip": host,
                    "listen": {"front": self.address, "readyAddr": self.ready_address},
                    "internalPorts": [ports[2], ports[3]],
                    "platform": {"address": store.address},
                    "bounds": {
                        "drainTimeoutMs": 2000,
                        "gracePeriodS": 8,
                        "retryBudgetRatio": 0.2,
                        "budgetSlack": 200,
                        "budgetWindowS": 10,
                    },
                },
            )
        )
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0

    async def start(self) -> None:
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["RAGWORTPADDLE_NODE_FILE"] = str(self._settings_path)
        self.started_at = time.monotonic()
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, seconds: float = 30.0) -> None:
        host, _, port = self.ready_address.rpartition(":")
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            assert self.process is not None
            if self.process.returncode is not None:
                raise NotRunError(f"{self.name} ended: {self.log_path.read_text()[-1500:]}")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if first.split()[1] == "200":
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise NotRunError(f"{self.name} did not become ready")

    def resident_mb(self) -> float:
        """Return the resident memory of the process."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(match.group(1)) / 1000 if match else 0.0

    async def stop(self) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 9.0)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def free_port(host: str) -> int:
    """Return a free port below the ephemeral range."""
    while True:
        port = random.SystemRandom().randrange(10_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        return port


@dataclass
class Attempt:
    """One client attempt: what was sent and what came back."""

    id: str
    path: str
    daemon: str
    sent_at: float
    status: int = 0
    ended_at: float = 0.0
    end: str = ""  # how it ended without a status
    seal: str = ""
    leaving: bool = False
    body: bytes = b""
    events: int = 0


class Client:
    """A client with one kept connection to a daemon."""

    def __init__(self, daemon: Daemon, attempts: list[Attempt]) -> None:
        self._daemon = daemon
        self._attempts = attempts
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._gap_seconds = 60.0

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        deadline_ms: int = 2500,
        gap_seconds: float = 60.0,
        headers: dict[str, str] | None = None,
    ) -> Attempt:
        """Send one attempt and wait for its end.

        The client leaves if neither a head nor an event arrives for ``gap_seconds``.
        """
        attempt = Attempt(
            f"{random.getrandbits(64):016x}", path, self._daemon.name, time.monotonic()
        )
        self._attempts.append(attempt)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                self._gap_seconds = gap_seconds
                await self._exchange(attempt, method, path, body, deadline_ms, headers or {})
        except TimeoutError:
            attempt.end = "the client left"
            self.close()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            attempt.end = "connection closed"
            self.close()
        attempt.ended_at = time.monotonic()
        return attempt

    async def _exchange(
        self,
        attempt: Attempt,
        method: str,
        path: str,
        body: bytes,
        deadline_ms: int,
        headers: dict[str, str],
    ) -> None:
        if self._writer is None:
            host, _, port = self._daemon.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port), limit=1 << 22
            )
            attempt.sent_at = time.monotonic()
        assert self._reader is not None
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt.id}",
            f"X-Key: {KEY}",
            f"X-Deadline-Ms: {deadline_ms}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        async with asyncio.timeout(self._gap_seconds):
            first, answered = await read_head(self._reader)
        status = int(first.split()[1])
        attempt.seal = answered.get("x-server-seal", "")
        attempt.leaving = answered.get("server-leaving") == "1"
        if answered.get("transfer-encoding"):
            while True:
                async with asyncio.timeout(self._gap_seconds):
                    chunk = await read_chunk(self._reader)
                if not chunk:
                    break
                attempt.body += chunk
        else:
            attempt.body = await self._reader.readexactly(int(answered.get("content-length", "0")))
        attempt.status = status
        if answered.get("connection", "").lower() == "close":
            self.close()


class Case:
    """What every script needs: a folder, loopback addresses, a record and the clean-up."""

    def __init__(self, file: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._record = (Path(file).resolve().parent / "record.txt").open("w")
        random_source = random.SystemRandom()
        self._net = f"127.{random_source.randrange(2, 250)}.{random_source.randrange(1, 250)}"
        self._hosts = 0
        self.started_at = time.monotonic()
        self.attempts: list[Attempt] = []
        self.daemons: list[Daemon] = []
        self.servers: list[Server] = []
        self.own_lag = 0.0

    def host(self) -> str:
        """Return a loopback address that the case has not used."""
        self._hosts += 1
        return f"{self._net}.{self._hosts}"

    def log(self, text: str, at: float | None = None) -> None:
        """Write a line to the record."""
        seconds = (time.monotonic() if at is None else at) - self.started_at
        self._record.write(f"{seconds:9.3f} {text}\n")
        self._record.flush()

    def verdict(self, text: str) -> None:
        self.log(text)
        print(text)

    def log_attempts(self, servers: list[Replica]) -> None:
        """Write down what was sent, answered and run."""
        at_server: defaultdict[str, list[str]] = defaultdict(list)
        for server in servers:
            for arrived_at, attempt_id in server.arrivals:
                seconds = arrived_at - self.started_at
                state = server.runs.get(attempt_id, "refused")
                at_server[attempt_id].append(f"{server.id} at {seconds:.3f} ({state})")
        for a in self.attempts:
            answer = f"{a.status} after {a.ended_at - a.sent_at:.3f} s" if a.status else a.end
            where = "; ".join(at_server[a.id]) or "no server"
            leaving = ", Server-Leaving" if a.leaving else ""
            self.log(f"sent {a.id} {a.path} to {a.daemon}: {answer}{leaving}; {where}", a.sent_at)

    async def _watch_own_lag(self) -> None:
        """Note how late this process runs, which must not be taken for a slow daemon."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.own_lag = max(self.own_lag, time.monotonic() - before - 0.01)

    async def _run(self, body: Callable[["Case"], Awaitable[int]]) -> int:
        lag = asyncio.create_task(self._watch_own_lag())
        try:
            async with asyncio.timeout(CASE_SECONDS):
                result = await body(self)
            self.log(f"the stand-ins themselves were late by {self.own_lag:.3f} s at most")
            if self.own_lag > MAX_OWN_LAG_SECONDS:
                raise NotRunError(f"the stand-ins were late by {self.own_lag:.3f} s")
            return result
        except NotRunError as error:
            self.verdict(f"not run: {error}")
            return NOT_RUN
        except TimeoutError:
            self.verdict("not run: the case took too long")
            return NOT_RUN
        finally:
            lag.cancel()
            await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
            for server in self.servers:
                server.stop()
            for daemon in self.daemons:
                ended = daemon.process.returncode if daemon.process else None
                self.log(f"{daemon.name} ended with {ended}")

    def run(self, body: Callable[["Case"], Awaitable[int]]) -> None:
        """Run the case and exit with its result."""
        if not (ROOT / "target/deps/ragwortpaddled").is_dir():
            self.verdict("not run: the build of deploy/system.toml is missing")
            sys.exit(NOT_RUN)
        try:
            result = asyncio.run(self._run(body))
        finally:
            if os.environ.get("KEEP"):
                print(self.folder)
            else:
                shutil.rmtree(self.folder, ignore_errors=True)
        sys.exit(result)
