"""Stand-in for the platform: its object API and its lagging list of VMs.

Objects carry versions; a write names the version it replaces in ``If-Match`` (0 creates).
A watch waits for a change below a prefix. ``/calls`` counts every call by kind, and a waiting
watch as one. ``/faults`` orders an outage, slowness, and replies lost after the effect.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import defopt
import msgspec
from blacksheep import Application, Content, Request, Response

from ragwortpaddle_standins._server import reply, serve

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_SECONDS = 30.0
REPLY_LOSS_HOLD_SECONDS = 30.0


class StoredObject(msgspec.Struct):
    """One object with the revision of its last write as its version."""

    key: str
    version: int
    value: str


class Vm(msgspec.Struct):
    """One entry of the VM list."""

    name: str
    role: str
    address: str
    data_centre: str
    pool: str = ""
    peer_address: str = ""
    state: str = "live"


class Faults(msgspec.Struct):
    """Faults in force; ``lose_replies`` counts down with each write."""

    outage: bool = False
    delay_ms: int = 0
    lose_replies: int = 0
    late_writes_ms: int = 0


class Store:
    """The objects, their watchers and the VM list."""

    def __init__(self, list_lag_seconds: float) -> None:
        self.revision = 0
        self.by_key: dict[str, StoredObject] = {}
        self.changed = asyncio.Condition()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.list_lag_seconds = list_lag_seconds
        self.vm_history: list[tuple[float, dict[str, Vm]]] = [(0.0, {})]

    def visible_vms(self) -> list[Vm]:
        """Return the VM list as it was one lag ago."""
        horizon = time.monotonic() - self.list_lag_seconds
        while len(self.vm_history) > 1 and self.vm_history[1][0] <= horizon:
            self.vm_history.pop(0)
        return list(self.vm_history[0][1].values())

    def put_vm(self, vm: Vm) -> None:
        """Add or replace an entry; it shows one lag later."""
        latest = dict(self.vm_history[-1][1])
        latest[vm.name] = vm
        self.vm_history.append((time.monotonic(), latest))

    async def write(self, key: str, expected: int, value: str | None) -> Response:
        """Apply a conditional write and wake the watchers."""
        current = self.by_key.get(key)
        version = current.version if current else 0
        if version != expected:
            return reply({"error": "version conflict", "version": version}, 409)
        self.revision += 1
        if value is None:
            self.by_key.pop(key, None)
        else:
            self.by_key[key] = StoredObject(key, self.revision, value)
        async with self.changed:
            self.changed.notify_all()
        return reply({"version": self.revision})

    def below(self, prefix: str, after: int = -1) -> list[StoredObject]:
        """Return the objects below a prefix that are newer than a revision."""
        return [
            item
            for key, item in sorted(self.by_key.items())
            if key.startswith(prefix) and item.version > after
        ]


def build(store: Store) -> Application:
    """Build the platform's HTTP application."""
    application = Application()
    router = application.router

    def query(request: Request, name: str, default: str = "") -> str:
        values = request.query.get(name)
        return values[0] if values else default

    def counted(
        kind: str, handler: Callable[[Request], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def run(request: Request) -> Response:
            store.calls[kind] += 1
            purpose = request.get_first_header(b"Call-Purpose")
            if purpose:
                store.calls[f"{kind}:{purpose.decode()}"] += 1
            if store.faults.delay_ms:
                await asyncio.sleep(store.faults.delay_ms / 1000)
            if store.faults.outage:
                return reply({"error": "unavailable"}, 503)
            return await handler(request)

        return run

    async def get_object(request: Request) -> Response:
        item = store.by_key.get(query(request, "key"))
        if item is None:
            return reply({"error": "not found"}, 404)
        response = Response(200, content=Content(b"text/plain", item.value.encode()))
        response.add_header(b"Object-Version", str(item.version).encode())
        return response

    async def put_object(request: Request) -> Response:
        body = await request.read() or b""
        if len(body) > MAX_VALUE_BYTES:
            return reply({"error": "value too large"}, 413)
        expected = int(request.get_first_header(b"If-Match") or b"0")
        if store.faults.late_writes_ms and store.faults.lose_replies > 0:
            store.faults.lose_replies -= 1
            asyncio.get_running_loop().create_task(
                late_write(query(request, "key"), expected, body)
            )
            await asyncio.sleep(REPLY_LOSS_HOLD_SECONDS)
        response = await store.write(query(request, "key"), expected, body.decode())
        if store.faults.lose_replies > 0:
            store.faults.lose_replies -= 1
            await asyncio.sleep(REPLY_LOSS_HOLD_SECONDS)
        return response

    async def late_write(key: str, expected: int, body: bytes) -> None:
        await asyncio.sleep(store.faults.late_writes_ms / 1000)
        await store.write(key, expected, body.decode())

    async def delete_object(request: Request) -> Response:
        expected = int(request.get_first_header(b"If-Match") or b"0")
        return await store.write(query(request, "key"), expected, None)

    async def list_objects(request: Request) -> Response:
        return reply({"revision": store.revision, "objects": store.below(query(request, "prefix"))})

    async def watch(request: Request) -> Response:
        prefix = query(request, "prefix")
        after = int(query(request, "after", "0"))
        wait = min(int(query(request, "wait_ms", "0")) / 1000, MAX_WATCH_SECONDS)
        deadline = time.monotonic() + wait
        async with store.changed:
            while not store.below(prefix, after) and not store.faults.outage:
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    break
                try:
                    await asyncio.wait_for(store.changed.wait(), remaining)
                except TimeoutError:
                    break
        if store.faults.outage:
            return reply({"error": "unavailable"}, 503)
        return reply({"revision": store.revision, "objects": store.below(prefix, after)})

    async def list_vms(_request: Request) -> Response:
        return reply({"vms": store.visible_vms()})

    async def put_vm(request: Request) -> Response:
        store.put_vm(msgspec.json.decode(await request.read() or b"", type=Vm))
        return reply({})

    async def order_faults(request: Request) -> Response:
        store.faults = msgspec.json.decode(await request.read() or b"", type=Faults)
        async with store.changed:
            store.changed.notify_all()
        return reply({})

    async def calls(_request: Request) -> Response:
        return reply(dict(store.calls))

    router.add_get("/object", counted("read", get_object))
    router.add_put("/object", counted("write", put_object))
    router.add_delete("/object", counted("write", delete_object))
    router.add_get("/objects", counted("list", list_objects))
    router.add_get("/watch", counted("watch", watch))
    router.add_get("/vms", counted("vms", list_vms))
    router.add_put("/vms", put_vm)
    router.add_post("/faults", order_faults)
    router.add_get("/calls", calls)
    return application


def main(*, listen: str, list_lag_ms: int = 0) -> None:
    """Run the platform stand-in.

    :param listen: host:port to serve on
    :param list_lag_ms: how far the VM list lags
    """
    serve(build(Store(list_lag_ms / 1000)), listen)


if __name__ == "__main__":
    defopt.run(main)
