"""Stand-in for the platform: its object API and its delayed list of VMs.

Objects carry versions; a conditional write names the version it replaces in ``If-Match`` (0
creates). A watch waits for a change below a key prefix. ``/calls`` returns the number of calls by
kind; a watch counts once however long it waits. ``/faults`` injects an outage, a delay, writes
whose response is lost, and such writes that are applied late. ``/copy`` copies the objects, and
``/restore`` takes them and the revision back to the copy and increments the era, which all answers
carry in ``Object-Era``.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import defopt
import msgspec
from blacksheep import Application, Content, Request, Response

from ragwortpaddle_standins._server import json_response, serve

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_SECONDS = 30.0
LOST_RESPONSE_HOLD_SECONDS = 30.0


class StoredObject(msgspec.Struct):
    """One object; its version is the store revision of its last write."""

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
    """The injected faults.

    ``lose_replies`` is the number of writes, counted down, whose response is lost; with
    ``late_writes_ms`` these are also applied only after that delay.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_replies: int = 0
    late_writes_ms: int = 0


class Store:
    """The objects, their watches, the VM list and the injected faults."""

    def __init__(self, list_lag_seconds: float) -> None:
        self.era = 0
        self.revision = 0
        self.object_by_key: dict[str, StoredObject] = {}
        self.copied: tuple[int, dict[str, StoredObject]] = (0, {})
        self.changed = asyncio.Condition()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.list_lag_seconds = list_lag_seconds
        self.vm_history: list[tuple[float, dict[str, Vm]]] = [(0.0, {})]

    def visible_vms(self) -> list[Vm]:
        """Return the VM list as it was before the list lag."""
        visible_before = time.monotonic() - self.list_lag_seconds
        while len(self.vm_history) > 1 and self.vm_history[1][0] <= visible_before:
            self.vm_history.pop(0)
        return list(self.vm_history[0][1].values())

    def put_vm(self, vm: Vm) -> None:
        """Add or replace an entry, which becomes visible after the list lag."""
        latest = dict(self.vm_history[-1][1])
        latest[vm.name] = vm
        self.vm_history.append((time.monotonic(), latest))

    async def write(self, key: str, expected_version: int, value: str | None) -> Response:
        """Apply a conditional write (a deletion if ``value`` is None) and wake the watches."""
        current = self.object_by_key.get(key)
        version = current.version if current else 0
        if version != expected_version:
            return json_response({"error": "version conflict", "version": version}, 409)
        self.revision += 1
        if value is None:
            self.object_by_key.pop(key, None)
        else:
            self.object_by_key[key] = StoredObject(key, self.revision, value)
        async with self.changed:
            self.changed.notify_all()
        return json_response({"version": self.revision})

    def copy(self) -> None:
        """Copy the objects, which are replaced as a whole and never changed."""
        self.copied = (self.revision, dict(self.object_by_key))

    async def restore(self) -> None:
        """Restore the copy and wake the watches."""
        self.era += 1
        self.revision, objects = self.copied
        self.object_by_key = dict(objects)
        async with self.changed:
            self.changed.notify_all()

    def list_below(self, prefix: str, after: int = -1) -> list[StoredObject]:
        """Return the objects below a key prefix with a version newer than a revision."""
        return [
            item
            for key, item in sorted(self.object_by_key.items())
            if key.startswith(prefix) and item.version > after
        ]


def build(store: Store) -> Application:
    """Build the platform's HTTP application."""
    application = Application()
    router = application.router

    def get_query_value(request: Request, name: str, default: str = "") -> str:
        values = request.query.get(name)
        return values[0] if values else default

    def count_calls(
        kind: str, handler: Callable[[Request], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def count_and_handle(request: Request) -> Response:
            store.calls[kind] += 1
            purpose = request.get_first_header(b"Call-Purpose")
            if purpose:
                store.calls[f"{kind}:{purpose.decode()}"] += 1
            if store.faults.delay_ms:
                await asyncio.sleep(store.faults.delay_ms / 1000)
            if store.faults.outage:
                response = json_response({"error": "unavailable"}, 503)
            else:
                response = await handler(request)
            response.add_header(b"Object-Era", str(store.era).encode())
            return response

        return count_and_handle

    async def get_object(request: Request) -> Response:
        item = store.object_by_key.get(get_query_value(request, "key"))
        if item is None:
            return json_response({"error": "not found"}, 404)
        response = Response(200, content=Content(b"text/plain", item.value.encode()))
        response.add_header(b"Object-Version", str(item.version).encode())
        return response

    async def put_object(request: Request) -> Response:
        body = await request.read() or b""
        if len(body) > MAX_VALUE_BYTES:
            return json_response({"error": "value too large"}, 413)
        expected_version = int(request.get_first_header(b"If-Match") or b"0")
        if store.faults.late_writes_ms and store.faults.lose_replies > 0:
            store.faults.lose_replies -= 1
            asyncio.get_running_loop().create_task(
                apply_late_write(get_query_value(request, "key"), expected_version, body)
            )
            await asyncio.sleep(LOST_RESPONSE_HOLD_SECONDS)
        response = await store.write(
            get_query_value(request, "key"), expected_version, body.decode()
        )
        if store.faults.lose_replies > 0:
            store.faults.lose_replies -= 1
            await asyncio.sleep(LOST_RESPONSE_HOLD_SECONDS)
        return response

    async def apply_late_write(key: str, expected_version: int, body: bytes) -> None:
        await asyncio.sleep(store.faults.late_writes_ms / 1000)
        await store.write(key, expected_version, body.decode())

    async def delete_object(request: Request) -> Response:
        expected_version = int(request.get_first_header(b"If-Match") or b"0")
        return await store.write(get_query_value(request, "key"), expected_version, None)

    async def list_objects(request: Request) -> Response:
        return json_response(
            {
                "revision": store.revision,
                "objects": store.list_below(get_query_value(request, "prefix")),
            }
        )

    async def watch(request: Request) -> Response:
        prefix = get_query_value(request, "prefix")
        after = int(get_query_value(request, "after", "0"))
        wait_seconds = min(int(get_query_value(request, "wait_ms", "0")) / 1000, MAX_WATCH_SECONDS)
        deadline = time.monotonic() + wait_seconds
        async with store.changed:
            while (
                after <= store.revision
                and not store.list_below(prefix, after)
                and not store.faults.outage
            ):
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    break
                try:
                    await asyncio.wait_for(store.changed.wait(), remaining)
                except TimeoutError:
                    break
        if store.faults.outage:
            return json_response({"error": "unavailable"}, 503)
        if after > store.revision:
            return json_response({"error": "no such history"}, 410)
        return json_response(
            {"revision": store.revision, "objects": store.list_below(prefix, after)}
        )

    async def list_vms(_request: Request) -> Response:
        return json_response({"vms": store.visible_vms()})

    async def put_vm(request: Request) -> Response:
        store.put_vm(msgspec.json.decode(await request.read() or b"", type=Vm))
        return json_response({})

    async def set_faults(request: Request) -> Response:
        store.faults = msgspec.json.decode(await request.read() or b"", type=Faults)
        async with store.changed:
            store.changed.notify_all()
        return json_response({})

    async def take_copy(_request: Request) -> Response:
        store.copy()
        return json_response({})

    async def restore_copy(_request: Request) -> Response:
        await store.restore()
        return json_response({})

    async def get_calls(_request: Request) -> Response:
        return json_response(dict(store.calls))

    router.add_get("/object", count_calls("read", get_object))
    router.add_put("/object", count_calls("write", put_object))
    router.add_delete("/object", count_calls("write", delete_object))
    router.add_get("/objects", count_calls("list", list_objects))
    router.add_get("/watch", count_calls("watch", watch))
    router.add_get("/vms", count_calls("vms", list_vms))
    router.add_put("/vms", put_vm)
    router.add_post("/faults", set_faults)
    router.add_post("/copy", take_copy)
    router.add_post("/restore", restore_copy)
    router.add_get("/calls", get_calls)
    return application


def main(*, listen: str, list_lag_ms: int = 0) -> None:
    """Run the platform stand-in.

    :param listen: host:port to listen on
    :param list_lag_ms: delay until a change of the VM list becomes visible
    """
    serve(build(Store(list_lag_ms / 1000)), listen)


if __name__ == "__main__":
    defopt.run(main)
