"""Stand-ins that speak the users' platform: its store, layered engines and plain services.

They run in the test's own event loop, on ports of the system. Faults are attributes that a test
sets; what reached an endpoint is noted for the test to look at.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from ragwortpaddled.transport import Http1Server, Responder, ServerRequest

EVENT_SECONDS = 0.005
STALL_SECONDS = 2.0
PAUSE_SECONDS = 1.0
ANY_PORT = "127.0.0.1:0"  # the system chooses; a port chosen before may be taken meanwhile
JSON = [(b"Content-Type", b"application/json")]
HOST = b"desk.example"
KEY = b"key-of-bench"
LAYERS = 8
EVENT_COUNT = 8


def event(number: int) -> bytes:
    """Return one event of an engine's stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


EVENTS = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))


def caller_headers(
    attempt_id: bytes, *, key: bytes = KEY, deadline_ms: bytes = b"5000"
) -> list[tuple[bytes, bytes]]:
    """Return the headers that a caller sends with every request."""
    return [
        (b"Host", HOST),
        (b"X-Attempt-Id", attempt_id),
        (b"X-Key", key),
        (b"X-Deadline-Ms", deadline_ms),
        (b"X-Token-Counts", b"700,100"),
    ]


def attempt_id_of(request: ServerRequest) -> str:
    """Return the id of the caller's attempt that a request belongs to."""
    return (request.header(b"x-attempt-id") or b"").decode()


def configuration(version: int = 1, **changes: object) -> dict:
    """Return a configuration with a streaming, a safe and an unsafe route."""

    def route(name: str, kind: str, service: str, **more: object) -> dict:
        return {
            "name": name,
            "host": HOST.decode(),
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 4000,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "public": False,
            **more,
        }

    engine = {
        "slots": 96,
        "kvTokenBytes": 800000,
        "layers": LAYERS,
        "layerMb": 1000.0,
        "step_ms": 0.85,
        "per_seq_ms": 0.005,
        "context_per_k": 0.007,
        "read_per_s": 272000.0,
        "usual": {"prompt": 700, "answer": 100},
        "activationBytes": 40000,
        "pipeMbps": 6500.0,
        "kinds": [{"name": "card", "mb": 8000.0, "pace": 3.0, "readX": 3.0}],
    }
    return {
        "version": version,
        "routes": [
            route("ask", "streaming", "model", resumable=True, targetGapMs=200, sticky=True),
            route("once", "streaming", "model", resumable=False, targetGapMs=200),
            route("look", "safe", "desk"),
            route("book", "unsafe", "desk"),
        ],
        "services": [
            {"name": "model", "maxConns": 100, "engine": engine},
            {"name": "desk", "maxConns": 100},
        ],
        "limits": {"idleTimeoutMs": 5000},
        "tenants": [{"name": "bench-team", "apiKeys": [KEY.decode()], "priority": 1}],
        **changes,
    }


class _Listener:
    """What listens on a port of the system."""

    def __init__(
        self, handler: Callable[[ServerRequest, Responder], Coroutine[Any, Any, None]]
    ) -> None:
        self._server = Http1Server(ANY_PORT, handler)

    @property
    def address(self) -> str:
        """Return the address, once started."""
        return self._server.address

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    def stop(self) -> None:
        """Reset every connection and listen no more."""
        self._server.stop_accepting()
        self._server.abort()


class Store(_Listener):
    """The metadata store: kinds, names, one revision, watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.object_by_key: dict[str, dict] = {}
        self.calls: Counter[str] = Counter()
        self.refuse = False
        self.lose_writes = 0
        self.history_from = 0
        self._changes: list[tuple[int, str, bool]] = []
        self._changed = asyncio.Event()
        super().__init__(self.handle)

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as its owner would; return its revision."""
        self.revision += 1
        key = f"{kind}/{name}"
        metadata = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        self.object_by_key[key] = {"metadata": metadata, "spec": spec, "status": None}
        self._note(key, removed=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._note(f"{kind}/{name}", removed=True)
        del self.object_by_key[f"{kind}/{name}"]

    def forget_history(self) -> None:
        """Drop the history, which cuts the watches."""
        self.history_from = self.revision + 1
        self._wake()

    def _note(self, key: str, *, removed: bool) -> None:
        self._changes.append((self.revision, key, removed))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        """Answer one call."""
        url = urlsplit(request.target.decode())
        parts = url.path.removeprefix("/api/objects/").split("/")
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls[request.method.decode()] += 1
        if self.refuse:
            await responder.send(503, [], b"")
            return
        status, body = await self._call(request, parts, query)
        if request.method != b"GET" and self.lose_writes:
            self.lose_writes -= 1
            raise ConnectionResetError("the answer is lost")
        await responder.send(status, JSON, msgspec.json.encode(body))

    async def _call(
        self, request: ServerRequest, parts: list[str], query: dict[str, str]
    ) -> tuple[int, object]:
        key = "/".join(parts)
        known = self.object_by_key.get(key)
        if request.method == b"GET" and "watch" in query:
            return await self._watch(parts[0], int(query["watch"]), int(query["waitMs"]))
        if request.method == b"GET" and len(parts) == 1:
            items = [o for k, o in self.object_by_key.items() if k.startswith(parts[0] + "/")]
            return 200, {"items": items, "hasMore": False, "storeRevision": self.revision}
        if request.method == b"POST":
            return self._create(parts[0], msgspec.json.decode(request.body))
        if known is None:
            return 404, {"error": "no such object"}
        if request.method == b"GET":
            return 200, known
        wanted = query.get("revision")
        body = msgspec.json.decode(request.body) if request.body else {}
        wanted = wanted or body.get("metadata", {}).get("revision")
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if request.method == b"DELETE":
            self.remove(*parts)
            return 200, known
        self.put(parts[0], parts[1], body["spec"])
        return 200, self.object_by_key[key]

    def _create(self, kind: str, body: dict) -> tuple[int, object]:
        name = body["metadata"]["name"]
        known = self.object_by_key.get(f"{kind}/{name}")
        if known is not None:
            return 409, known
        self.put(kind, name, body["spec"])
        return 201, self.object_by_key[f"{kind}/{name}"]

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, object]:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while not (events := self._events(kind, after)) and after >= self.history_from - 1:
                    await self._changed.wait()
        except TimeoutError:
            events = []
        if after < self.history_from - 1:
            return 410, {"error": "history is gone"}
        return 200, {"events": events, "storeRevision": self.revision}

    def _events(self, kind: str, after: int) -> list[dict]:
        events = []
        for revision, key, removed in self._changes:
            if revision > after and key.startswith(kind + "/"):
                name = {"metadata": {"name": key.partition("/")[2], "revision": revision}}
                events.append({"removed": removed, "object": self.object_by_key.get(key, name)})
        return events


class StoreDoor(_Listener):
    """A second address of a store, which may turn its callers away while the store serves."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._shut = False
        super().__init__(self._handle)

    def shut(self) -> None:
        """Cut every call that waits and answer each further one with 503."""
        self._shut = True
        self._server.abort()

    def open(self) -> None:
        """Let callers in again."""
        self._shut = False

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        if self._shut:
            await responder.send(503, [], b"")
            return
        await self._store.handle(request, responder)


@dataclass
class Endpoint:
    """What engines and services have in common: an entry, faults, and a record of requests."""

    store: Store
    id: str
    service: str
    zone: str
    slots: int = 6
    kind: str = ""
    layers: tuple[int, int] | None = None
    received: list[ServerRequest] = field(default_factory=list)
    received_at: list[float] = field(default_factory=list)  # seconds on the monotonic clock
    left_at: float | None = None
    public_address: str = ""
    fault: str = ""
    running: int = 0

    def __post_init__(self) -> None:
        self._server = Http1Server(ANY_PORT, self._handle)

    @property
    def address(self) -> str:
        """Return the address, once started."""
        return self._server.address

    async def start(self) -> None:
        """Start listening and register."""
        await self._server.start()
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the entry."""
        spec = {
            "service": self.service,
            "address": self.public_address or self.address,
            "zone": self.zone,
            "slots": self.slots,
            "state": state,
            "kind": self.kind,
            "born": 1,
        }
        if self.layers:
            spec["layers"] = {"from": self.layers[0], "target": self.layers[1], "version": 1}
        self.store.put("servers", self.id, spec)
        if state != "ready":
            self.left_at = time.monotonic()

    def remove(self) -> None:
        """Take the entry out of the store."""
        self.store.remove("servers", self.id)
        self.left_at = self.left_at or time.monotonic()

    def stop(self) -> None:
        """Reset every connection and listen no more."""
        self._server.stop_accepting()
        self._server.abort()

    def ran(self, attempt_id: str) -> int:
        """Return how often a request began to run here."""
        return sum(attempt_id_of(request) == attempt_id for request in self.received)

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        raise NotImplementedError

    def _note(self, request: ServerRequest) -> None:
        self.received.append(request)
        self.received_at.append(time.monotonic())

    def _headers(self, request: ServerRequest) -> list[tuple[bytes, bytes]]:
        return [
            (b"X-Attempt-Id", attempt_id_of(request).encode()),
            (b"X-Server-Seal", f"seal.{self.id}".encode()),
            (b"X-Replica-Load", f"{self.running},0,{self.slots}".encode()),
        ]


class Service(Endpoint):
    """A plain service that answers with its id."""

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        if self.fault == "full":
            await responder.send(503, [(b"X-Not-Executed", b"1")], b"")
            return
        self._note(request)
        if self.fault == "answer lost":
            raise ConnectionResetError("the answer is lost")
        if self.fault == "error":
            await responder.send(500, self._headers(request), b"failed")
            return
        if self.fault == "hang":
            await asyncio.Event().wait()
        headers = self._headers(request)
        if self.fault == "crossed":
            headers[0] = (b"X-Attempt-Id", b"another")
        await responder.send(200, headers, b"answer of " + self.id.encode())


class Engine(Endpoint):
    """An engine that holds layers, forwards along a path and streams events."""

    total_events = EVENT_COUNT
    pause_at = 0
    fence = 0
    orders = 0
    load_seconds = 0.0
    loading: asyncio.Task[None] | None = None

    def __post_init__(self) -> None:
        super().__post_init__()
        self.peers: dict[str, Engine] = {}
        self.stalled: dict[str, str] = {}
        self.wrong_paths: list[str] = []

    def join(self, engines: list["Engine"]) -> None:
        """Learn the other engines by address."""
        self.peers = {engine.public_address or engine.address: engine for engine in engines}

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        if request.target == b"/api/report":
            await self._report(responder)
        elif request.target == b"/api/order":
            await self._order(request, responder)
        else:
            await self._stream(request, responder)

    async def _report(self, responder: Responder) -> None:
        stalled = [{"id": i, "address": a} for i, a in self.stalled.items()]
        busy = self.loading is not None and not self.loading.done()
        body = {"seq": self.orders, "running": self.running, "stalled": stalled, "busy": busy}
        await responder.send(200, JSON, msgspec.json.encode(body))

    async def _order(self, request: ServerRequest, responder: Responder) -> None:
        order = msgspec.json.decode(request.body)
        if order["fence"] < self.fence:
            await responder.send(412, JSON, b"{}")
            return
        self.fence = order["fence"]
        self.orders += 1
        if self.loading is not None:
            self.loading.cancel()
        if self.load_seconds:
            self.loading = asyncio.create_task(self._load(order["from"], order["target"]))
        else:
            self._hold(order["from"], order["target"])
        await responder.send(202, JSON, b"{}")

    async def _load(self, first: int, end: int) -> None:
        """Load layers from the start, whatever was loaded before."""
        self.layers = None
        self._tell_layers()
        await asyncio.sleep(self.load_seconds)
        self._hold(first, end)

    def _hold(self, first: int, end: int) -> None:
        self.layers = (first, end)
        self._tell_layers()

    def _tell_layers(self) -> None:
        """Write the entry anew, unless the engine has left: it would be back for good."""
        if self.left_at is None:
            self.register()

    async def _stream(self, request: ServerRequest, responder: Responder) -> None:
        path = (request.header(b"x-hop-count") or b"").decode()
        stages = self._stages(path)
        attempt_id = attempt_id_of(request)
        self._note(request)
        first = int(request.header(b"last-event-id") or b"0") + 1
        await responder.start(200, self._headers(request))
        self.running += 1
        try:
            for number in range(first, self.total_events + 1):
                await self._wait_for(stages, attempt_id)
                if number == self.pause_at:
                    await asyncio.sleep(PAUSE_SECONDS)
                if self.fault == "torn" and number == self.total_events // 2:
                    await responder.write(event(number)[:7])
                    raise ConnectionResetError("the engine failed within an event")
                await responder.write(event(number))
            await responder.finish()
        finally:
            self.running -= 1

    def _stages(self, path: str) -> list["Engine"]:
        """Return the engines of a path, and note one that does not run every layer once."""
        stages = []
        point = 0
        for part in path.split(","):
            address, _, layers = part.partition("=")
            first, _, end = layers.partition("-")
            stage = self.peers[address]
            held = stage.layers or (0, 0)
            if int(first) != point or not held[0] <= int(first) < int(end) <= held[1]:
                self.wrong_paths.append(path)
            stages.append(stage)
            point = int(end)
        if point != max(engine.layers[1] for engine in self.peers.values() if engine.layers):
            self.wrong_paths.append(path)
        return stages

    async def _wait_for(self, stages: list["Engine"], attempt_id: str) -> None:
        await asyncio.sleep(EVENT_SECONDS)
        for stage in stages:
            if stage.fault == "dark":
                self.stalled[attempt_id] = stage.address
                await asyncio.sleep(STALL_SECONDS)
                raise ConnectionResetError("a stage is gone")
