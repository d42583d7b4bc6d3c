"""Stand-ins for the users' platform: its metadata store, layered engines and plain services.

They run in the event loop of the test and listen on ports that the system chooses. A test injects
faults by setting attributes, and inspects the requests that an endpoint has recorded.
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

EVENT_INTERVAL_SECONDS = 0.005
STALL_DURATION_SECONDS = 2.0
PAUSE_DURATION_SECONDS = 1.0
SILENCE_SECONDS = 1.4
TRICKLE_INTERVAL_SECONDS = 0.2
# The system chooses the port; one chosen in advance may be in use by then.
ANY_PORT_ADDRESS = "127.0.0.1:0"
JSON_HEADERS = [(b"Content-Type", b"application/json")]
HOST = b"desk.example"
API_KEY = b"key-of-bench"
LAYERS = 8
OLD_ENTRIES_SECONDS = 5.0  # after a restore; endpoints write their entries again meanwhile
EVENT_COUNT = 8
ERROR_STATUS_BY_FAULT = {"error": 500, "refusal": 503, "missing": 404}


def event(number: int) -> bytes:
    """Return the encoded server-sent event with a number, as an engine streams it."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


EVENT_STREAM = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))


def caller_headers(
    attempt_id: bytes, *, key: bytes = API_KEY, deadline_ms: bytes = b"5000"
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
    """Return the caller's attempt id that a request carries, or an empty string."""
    return (request.header(b"x-attempt-id") or b"").decode()


def prompt_parts_of(request: ServerRequest) -> list[str]:
    """Return the ids of a request's prompt parts."""
    value = (request.header(b"x-prompt-prefix") or b"").decode()
    return [part.partition(":")[0] for part in value.split(",") if part]


def configuration(version: int = 1, **changes: object) -> dict:
    """Return a configuration with two streaming routes, a safe and an unsafe one.

    ``changes`` replaces or adds top-level fields.
    """

    def route(name: str, kind: str, service: str, **fields: object) -> dict:
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
            **fields,
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
        "tenants": [{"name": "bench-team", "apiKeys": [API_KEY.decode()], "priority": 1}],
        **changes,
    }


class _ListeningServer:
    """An HTTP server on a port that the system chooses."""

    def __init__(
        self, handler: Callable[[ServerRequest, Responder], Coroutine[Any, Any, None]]
    ) -> None:
        self._server = Http1Server(ANY_PORT_ADDRESS, handler)

    @property
    def address(self) -> str:
        """Return the ``host:port``, known only after the start."""
        return self._server.address

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        self._server.stop_accepting()
        self._server.abort()


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The content of a store at one moment, from which it can be restored."""

    revision: int
    object_by_key: dict[str, dict]
    changes: list[tuple[int, str, bool]]


class Store(_ListeningServer):
    """The metadata store: objects by kind and name, one store revision, and watches.

    Faults: ``unavailable`` answers every call with 503, ``resetting`` resets the connection of
    every call, ``write_responses_to_lose`` is the number of writes, counted down, that are applied
    and whose response is lost. A list has pages of ``page_size`` objects; ``after_page`` is called
    with the kind and the number of each page, from 1, when its content is fixed. ``restore``
    replaces the content by a copy taken before, which takes the revision back and starts a new era.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.object_by_key: dict[str, dict] = {}
        self.calls: Counter[str] = Counter()
        self.unavailable = False
        self.resetting = False
        self.write_responses_to_lose = 0
        self.page_size = 500
        self.after_page: Callable[[str, int], None] = lambda kind, number: None
        self.oldest_retained_revision = 0
        self._changes: list[tuple[int, str, bool]] = []
        self.restored_at = float("-inf")  # on the monotonic clock
        self._restored_copy = StoreCopy(0, {}, [])
        self._changed = asyncio.Event()
        super().__init__(self.handle)

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object without a revision check; return its new revision."""
        self.revision += 1
        key = f"{kind}/{name}"
        metadata = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        self.object_by_key[key] = {"metadata": metadata, "spec": spec, "status": None}
        self._record_change(key, removed=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        if f"{kind}/{name}" not in self.object_by_key:
            return
        self.revision += 1
        self._record_change(f"{kind}/{name}", removed=True)
        del self.object_by_key[f"{kind}/{name}"]

    def compact_history(self) -> None:
        """Discard the change history; a watch from an older revision gets status 410."""
        self.oldest_retained_revision = self.revision + 1
        self._wake_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of the content; objects are replaced as a whole, never changed."""
        return StoreCopy(self.revision, dict(self.object_by_key), list(self._changes))

    def restore(self, copy: StoreCopy) -> StoreCopy:
        """Restore a copy; return the content that this replaces."""
        replaced = self.copy()
        self.era += 1
        self.revision = copy.revision
        self.object_by_key = dict(copy.object_by_key)
        self._changes = list(copy.changes)
        self.oldest_retained_revision = min(self.oldest_retained_revision, copy.revision)
        self._restored_copy = copy
        self.restored_at = time.monotonic()
        self._wake_watches()
        return replaced

    def rewrite(self, replaced: StoreCopy) -> None:
        """Write again what the operator and the endpoints had written before the last restore.

        Entries of endpoints that had gone are removed; what was written since is kept.
        """
        for key in self._restored_copy.object_by_key.keys() | replaced.object_by_key.keys():
            kind, _, name = key.partition("/")
            before = replaced.object_by_key.get(key)
            restored = self._restored_copy.object_by_key.get(key)
            written_since = self.object_by_key.get(key) is not restored
            if kind not in ("config", "servers") or written_since or before is restored:
                continue
            if before is None:
                self.remove(kind, name)
            else:
                self.put(kind, name, before["spec"])

    def _record_change(self, key: str, *, removed: bool) -> None:
        self._changes.append((self.revision, key, removed))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        """Respond to one call."""
        url = urlsplit(request.target.decode())
        path_parts = url.path.removeprefix("/api/objects/").split("/")
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls[request.method.decode()] += 1
        if self.resetting:
            raise ConnectionResetError("injected fault: the store is away")
        if self.unavailable:
            await responder.send(503, self._era_headers(), b"")
            return
        status, body = await self._dispatch(request, path_parts, query)
        if request.method != b"GET" and self.write_responses_to_lose:
            self.write_responses_to_lose -= 1
            raise ConnectionResetError("injected fault: response lost")
        headers = JSON_HEADERS + self._era_headers()
        await responder.send(status, headers, msgspec.json.encode(body))

    def _era_headers(self) -> list[tuple[bytes, bytes]]:
        return [(b"Store-Era", str(self.era).encode())]

    async def _dispatch(
        self, request: ServerRequest, path_parts: list[str], query: dict[str, str]
    ) -> tuple[int, object]:
        key = "/".join(path_parts)
        stored = self.object_by_key.get(key)
        if request.method == b"GET" and "watch" in query:
            return await self._watch(path_parts[0], int(query["watch"]), int(query["waitMs"]))
        if request.method == b"GET" and len(path_parts) == 1:
            return 200, self._list(path_parts[0], query.get("startAfter", ""))
        if request.method == b"POST":
            return self._create(path_parts[0], msgspec.json.decode(request.body))
        if stored is None:
            return 404, {"error": "no such object"}
        if request.method == b"GET":
            return 200, stored
        expected_revision = query.get("revision")
        body = msgspec.json.decode(request.body) if request.body else {}
        expected_revision = expected_revision or body.get("metadata", {}).get("revision")
        if (
            expected_revision is not None
            and int(expected_revision) != stored["metadata"]["revision"]
        ):
            return 409, stored
        if request.method == b"DELETE":
            self.remove(*path_parts)
            return 200, stored
        self.put(path_parts[0], path_parts[1], body["spec"])
        return 200, self.object_by_key[key]

    def _list(self, kind: str, start_after: str) -> dict:
        keys = sorted(key for key in self.object_by_key if key.startswith(kind + "/"))
        left = [key for key in keys if key > f"{kind}/{start_after}"]
        page = {
            "items": [self.object_by_key[key] for key in left[: self.page_size]],
            "hasMore": len(left) > self.page_size,
            "storeRevision": self.revision,
        }
        self.after_page(kind, (len(keys) - len(left)) // self.page_size + 1)
        return page

    def _create(self, kind: str, body: dict) -> tuple[int, object]:
        name = body["metadata"]["name"]
        stored = self.object_by_key.get(f"{kind}/{name}")
        if stored is not None:
            return 409, stored
        self.put(kind, name, body["spec"])
        return 201, self.object_by_key[f"{kind}/{name}"]

    async def _watch(self, kind: str, after_revision: int, wait_ms: int) -> tuple[int, object]:
        era = self.era
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self._has_history_since(after_revision) and not (
                    events := self._list_events(kind, after_revision)
                ):
                    await self._changed.wait()
                    if self.era != era:
                        raise ConnectionResetError("the store was restored during the watch")
        except TimeoutError:
            events = []
        if not self._has_history_since(after_revision):
            return 410, {"error": "history is gone"}
        return 200, {"events": events, "storeRevision": self.revision}

    def _has_history_since(self, revision: int) -> bool:
        return self.oldest_retained_revision - 1 <= revision <= self.revision

    def _list_events(self, kind: str, after_revision: int) -> list[dict]:
        events = []
        for revision, key, removed in self._changes:
            if revision > after_revision and key.startswith(kind + "/"):
                tombstone = {"metadata": {"name": key.partition("/")[2], "revision": revision}}
                events.append(
                    {"removed": removed, "object": self.object_by_key.get(key, tombstone)}
                )
        return events


class StoreFrontend(_ListeningServer):
    """A second address of a store that can reject its callers while the store itself serves."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._rejecting = False
        super().__init__(self._handle)

    def start_rejecting(self) -> None:
        """Reset every connection, and answer each further call with 503."""
        self._rejecting = True
        self._server.abort()

    def stop_rejecting(self) -> None:
        """Accept calls again."""
        self._rejecting = False

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        if self._rejecting:
            await responder.send(503, [], b"")
            return
        await self._store.handle(request, responder)


@dataclass
class Endpoint:
    """Base of engines and services: a store entry, an injected fault and the recorded requests.

    ``fault`` is empty for none; the subclasses document the faults that they simulate.
    ``requests_per_second`` is the limit that its responses name, None for none.
    """

    store: Store
    id: str
    service: str
    zone: str
    slots: int = 6
    kind: str = ""
    layers: tuple[int, int] | None = None
    received_requests: list[ServerRequest] = field(default_factory=list)
    received_at: list[float] = field(default_factory=list)  # seconds on the monotonic clock
    withdrawn_at: float | None = None  # when removed or no longer ready, monotonic clock
    removed: bool = False
    public_address: str = ""
    fault: str = ""
    running: int = 0
    incarnation: int = 1
    requests_per_second: float | None = None

    def __post_init__(self) -> None:
        self._server = Http1Server(ANY_PORT_ADDRESS, self._handle)

    @property
    def address(self) -> str:
        """Return the ``host:port``, known only after the start."""
        return self._server.address

    async def start(self) -> None:
        """Start listening and write the store entry."""
        await self._server.start()
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the store entry with a state; any state but ready withdraws the endpoint."""
        spec = {
            "service": self.service,
            "address": self.public_address or self.address,
            "zone": self.zone,
            "slots": self.slots,
            "state": state,
            "kind": self.kind,
            "born": self.incarnation,
        }
        if self.layers:
            spec["layers"] = {"from": self.layers[0], "target": self.layers[1], "version": 1}
        self.store.put("servers", self.id, spec)
        if state != "ready":
            self.withdrawn_at = time.monotonic()

    def remove(self) -> None:
        """Remove the store entry."""
        self.removed = True
        self.store.remove("servers", self.id)
        self.withdrawn_at = self.withdrawn_at or time.monotonic()

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        self._server.stop_accepting()
        self._server.abort()

    def count_executions(self, attempt_id: str) -> int:
        """Return how many times an attempt began to run here."""
        return sum(attempt_id_of(request) == attempt_id for request in self.received_requests)

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        raise NotImplementedError

    def _record_request(self, request: ServerRequest) -> None:
        self.received_requests.append(request)
        self.received_at.append(time.monotonic())

    def _response_headers(self, request: ServerRequest) -> list[tuple[bytes, bytes]]:
        headers = [
            (b"X-Attempt-Id", attempt_id_of(request).encode()),
            (b"X-Server-Seal", f"seal.{self.id}".encode()),
            (b"X-Replica-Load", f"{self.running},0,{self.slots}".encode()),
        ]
        if self.requests_per_second is not None:
            headers.append((b"Server-Limit", str(self.requests_per_second).encode()))
        return headers


class Service(Endpoint):
    """A plain service that answers with its id.

    Faults: ``full`` (503 without running), ``answer lost`` (runs, then resets the connection),
    ``error`` (runs and answers 500), ``hang`` (runs and never answers), ``pause`` (answers a second
    later), ``crossed`` (answers with the id of another attempt) and ``crossed refusal`` (runs, and
    refuses another attempt).
    """

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        if self.fault == "full":
            await responder.send(503, [(b"X-Not-Executed", b"1")], b"")
            return
        self._record_request(request)
        if self.fault == "answer lost":
            raise ConnectionResetError("injected fault: response lost")
        if self.fault == "error":
            await responder.send(500, self._response_headers(request), b"failed")
            return
        if self.fault == "hang":
            await asyncio.Event().wait()
        if self.fault == "pause":
            await asyncio.sleep(PAUSE_DURATION_SECONDS)
        headers = self._response_headers(request)
        if self.fault.startswith("crossed"):
            headers[0] = (b"X-Attempt-Id", b"another")
        if self.fault == "crossed refusal":
            await responder.send(503, [*headers, (b"X-Not-Executed", b"1")], b"")
            return
        await responder.send(200, headers, b"answer of " + self.id.encode())


class Engine(Endpoint):
    """An engine that holds layers, runs a path of pipeline stages and streams events.

    Faults: ``torn`` (resets the connection within an event) and ``dark`` (every path
    through this engine stalls, then its connection is reset). With ``unframed``, ``unframed torn``
    and ``unframed empty``, a stream has neither a length nor chunks and ends with its connection:
    when complete, within an event, or before the first one. ``error``, ``refusal`` and ``missing``
    answer with an error status, ``refusal`` after ``refusal_delay_seconds``. A request with a
    prompt part in ``deadly_parts`` crashes the engine when it begins to run; the engine restarts
    without layers.
    ``fall_silent`` stops everything for a while, reports too, and then goes on.
    ``refusals_left`` is the number of streams, counted down, that are refused with 503 and not run.
    """

    event_count = EVENT_COUNT
    pause_before_event = 0
    highest_fence = 0
    accepted_order_count = 0
    load_seconds = 0.0
    refusal_delay_seconds = 0.0
    event_interval_seconds = EVENT_INTERVAL_SECONDS
    load_task: asyncio.Task[None] | None = None
    deadly_parts: frozenset[str] = frozenset()
    restart_seconds = 0.3
    restart_task: asyncio.Task[None] | None = None
    refusals_left = 0
    refusal_count = 0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.crash_times: list[float] = []  # seconds on the monotonic clock
        self.engine_by_address: dict[str, Engine] = {}
        self.stalled_address_by_attempt: dict[str, str] = {}
        self.invalid_paths: list[str] = []
        self._silent_until = 0.0  # on the monotonic clock

    def fall_silent(self, seconds: float = SILENCE_SECONDS) -> None:
        """Send nothing and run nothing for a time, then go on with everything."""
        self._silent_until = time.monotonic() + seconds

    async def _wait_out_silence(self) -> None:
        while (seconds := self._silent_until - time.monotonic()) > 0:
            await asyncio.sleep(seconds)

    def set_peers(self, engines: list["Engine"]) -> None:
        """Set the engines that a path may name, by address."""
        self.engine_by_address = {
            engine.public_address or engine.address: engine for engine in engines
        }

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        await self._wait_out_silence()
        if request.target == b"/api/report":
            await self._report(responder)
        elif request.target == b"/api/order":
            await self._order(request, responder)
        else:
            await self._stream(request, responder)

    def stop(self) -> None:
        """Stop for good, also while a restart is pending."""
        if self.restart_task is not None:
            self.restart_task.cancel()
        super().stop()

    def crash(self) -> None:
        """End all connections and stop listening; restart later at the same address, empty."""
        if self.restart_task is not None and not self.restart_task.done():
            return
        self.crash_times.append(time.monotonic())
        address = self.address
        super().stop()
        self.layers = None
        self.restart_task = asyncio.create_task(self._restart(address))

    async def _restart(self, address: str) -> None:
        await asyncio.sleep(self.restart_seconds)
        self.incarnation += 1
        self.accepted_order_count = 0
        self._server = Http1Server(address, self._handle)
        await self._server.start()
        self.register()

    async def _report(self, responder: Responder) -> None:
        stalled = [{"id": i, "address": a} for i, a in self.stalled_address_by_attempt.items()]
        busy = self.load_task is not None and not self.load_task.done()
        body = {
            "seq": self.accepted_order_count,
            "running": self.running,
            "stalled": stalled,
            "busy": busy,
        }
        await responder.send(200, JSON_HEADERS, msgspec.json.encode(body))

    async def _order(self, request: ServerRequest, responder: Responder) -> None:
        order = msgspec.json.decode(request.body)
        if order["fence"] < self.highest_fence:
            await responder.send(412, JSON_HEADERS, b"{}")
            return
        self.highest_fence = order["fence"]
        self.accepted_order_count += 1
        if self.load_task is not None:
            self.load_task.cancel()
        if self.load_seconds:
            self.load_task = asyncio.create_task(self._load(order["from"], order["target"]))
        else:
            self._set_layers(order["from"], order["target"])
        await responder.send(202, JSON_HEADERS, b"{}")

    async def _load(self, first_layer: int, end_layer: int) -> None:
        """Load all layers of a range, including those that the engine already holds."""
        self.layers = None
        self._publish_layers()
        await asyncio.sleep(self.load_seconds)
        self._set_layers(first_layer, end_layer)

    def _set_layers(self, first_layer: int, end_layer: int) -> None:
        self.layers = (first_layer, end_layer)
        self._publish_layers()

    def _publish_layers(self) -> None:
        """Update the store entry, unless the engine is withdrawn: that would register it again."""
        if self.withdrawn_at is None:
            self.register()

    async def _stream(self, request: ServerRequest, responder: Responder) -> None:
        path = (request.header(b"x-hop-count") or b"").decode()
        stages, lacking_address = self._parse_path(path)
        if lacking_address:
            headers = [*self._response_headers(request), (b"At-Server", lacking_address.encode())]
            await responder.send(421, headers, b"")
            return
        if self.refusals_left:
            self.refusals_left -= 1
            self.refusal_count += 1
            headers = [*self._response_headers(request), (b"X-Not-Executed", b"1")]
            await responder.send(503, headers, b"")
            return
        attempt_id = attempt_id_of(request)
        self._record_request(request)
        if self.deadly_parts.intersection(prompt_parts_of(request)):
            await responder.start(200, self._response_headers(request))
            await asyncio.sleep(self.event_interval_seconds)
            self.crash()
            raise ConnectionResetError("injected fault: the request crashes the engine")
        first_event = int(request.header(b"last-event-id") or b"0") + 1
        if self.fault in ERROR_STATUS_BY_FAULT:
            headers = self._response_headers(request)
            if self.fault == "refusal":
                await asyncio.sleep(self.refusal_delay_seconds)
                headers.append((b"X-Not-Executed", b"1"))
            await responder.send(ERROR_STATUS_BY_FAULT[self.fault], headers, b"failed")
            return
        if self.fault.startswith("unframed"):
            await self._stream_unframed(request, responder, first_event)
            return
        await responder.start(200, self._response_headers(request))
        self.running += 1
        try:
            for number in range(first_event, self.event_count + 1):
                await self._run_step(stages, attempt_id)
                if number == self.pause_before_event:
                    await asyncio.sleep(PAUSE_DURATION_SECONDS)
                if self.fault == "torn" and number == self.event_count // 2:
                    await responder.write(event(number)[:7])
                    raise ConnectionResetError("injected fault: connection reset within an event")
                if self.fault == "trickle" and number == self.event_count // 2:
                    await self._send_without_end(responder, b"d", TRICKLE_INTERVAL_SECONDS)
                if self.fault == "endless event" and number == self.event_count // 2:
                    await self._send_without_end(responder, b"d" * 65536, 0.0)
                await responder.write(event(number))
            await responder.finish()
        finally:
            self.running -= 1

    async def _stream_unframed(
        self, request: ServerRequest, responder: Responder, first_event: int
    ) -> None:
        body = b"".join(event(number) for number in range(first_event, self.event_count + 1))
        if self.fault == "unframed torn":
            body = body[: len(event(first_event)) * 2 - 1]
        elif self.fault == "unframed empty":
            body = b""
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
        for name, value in self._response_headers(request):
            head += name + b": " + value + b"\r\n"
        stream = responder._connection._stream  # the server itself frames every response
        await stream.write(head + b"\r\n" + body)
        stream.close()

    @staticmethod
    async def _send_without_end(responder: Responder, data: bytes, interval: float) -> None:
        """Repeat bytes that complete no event until the caller disconnects."""
        while True:
            await responder.write(data)
            await asyncio.sleep(interval)

    def _parse_path(self, path: str) -> tuple[list["Engine"], str]:
        """Return the engines of a path, and the address of one that lacks its layers, if any.

        A path that does not run every layer once is recorded; so is one with missing layers, unless
        the entries may be those of a copy from which the store was just restored.
        """
        stages = []
        next_layer = 0
        lacking_address = ""
        for part in path.split(","):
            address, _, layers = part.partition("=")
            first, _, end = layers.partition("-")
            stage = self.engine_by_address[address]
            held_layers = stage.layers or (0, 0)
            if int(first) != next_layer:
                self.invalid_paths.append(path)
            if not held_layers[0] <= int(first) < int(end) <= held_layers[1]:
                lacking_address = lacking_address or address
            stages.append(stage)
            next_layer = int(end)
        if next_layer != LAYERS:
            self.invalid_paths.append(path)
        since_restore = time.monotonic() - self.store.restored_at
        if lacking_address and since_restore > OLD_ENTRIES_SECONDS:
            self.invalid_paths.append(path)
        return stages, lacking_address

    async def _run_step(self, stages: list["Engine"], attempt_id: str) -> None:
        """Simulate the time of one step; stall and fail if a stage of the path is dark."""
        await asyncio.sleep(self.event_interval_seconds)
        for stage in stages:
            await stage._wait_out_silence()
            if stage.fault == "dark":
                self.stalled_address_by_attempt[attempt_id] = stage.address
                await asyncio.sleep(STALL_DURATION_SECONDS)
                raise ConnectionResetError("injected fault: a stage of the path does not respond")
