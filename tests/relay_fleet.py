"""Test bed: relay daemons in the test's event loop, with stand-ins of the platform."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Self

from adapter import PlatformDialect, PlatformStoreDialect
from endpoint_cut import EndpointCut
from ragwortpaddle_standins.relay_platform import (
    ANY_PORT_ADDRESS,
    API_KEY,
    Engine,
    Service,
    Store,
    caller_headers,
    configuration,
)
from ragwortpaddled.relay import RelayDaemon, load_relay_settings
from ragwortpaddled.transport import Http1Connection, Http1Pool, ResponseHead

WAIT_SECONDS = 8.0


class RelayTestBed:
    """A store, four engines that form two chains, two services of pool "desk", and one daemon.

    ``settings`` is added to the settings file of each daemon.
    """

    def __init__(self, directory: Path, settings: str = "") -> None:
        self.directory = directory
        self.settings = settings
        self.store = Store()
        self.engines = [
            Engine(self.store, f"engine-{i}", "model", "dc-a", 96, "card") for i in range(4)
        ]
        self.desks = [Service(self.store, f"desk-{i}", "desk", "dc-a") for i in range(2)]
        self.daemon: RelayDaemon | None = None
        self.pool = Http1Pool()
        self.cut_by_name: dict[str, EndpointCut] = {}

    @property
    def endpoint_addresses(self) -> set[str]:
        """Return the addresses of all endpoints."""
        return {e.public_address or e.address for e in (*self.engines, *self.desks)}

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start all processes and wait until every engine holds layers."""
        await self.store.start()
        self.store.put("config", "main", configuration())
        for endpoint in (*self.engines, *self.desks):
            await endpoint.start()
        for engine in self.engines:
            engine.set_peers(self.engines)
        self.daemon = await self.start_daemon("entry-1", self.store.address)
        await self.wait(lambda: all(engine.layers for engine in self.engines), "layers")

    async def start_daemon(self, name: str, store_address: str) -> RelayDaemon:
        """Start a daemon with its own settings file."""
        path = self.directory / f"{name}.ini"
        path.write_text(
            f"[relay]\nname = {name}\ndata_centre = dc-a\nlisten = {ANY_PORT_ADDRESS}\n"
            f"ready_listen = {ANY_PORT_ADDRESS}\npeer_listen = {ANY_PORT_ADDRESS}\n"
            f"metrics_listen = {ANY_PORT_ADDRESS}\nforward_listen = {ANY_PORT_ADDRESS}\n[store]\n"
            f"url = http://{store_address}\n[end]\ngrace_seconds = 4\nbalancer_lag_ms = 300\n"
            + self.settings
        )
        settings = load_relay_settings(path)
        daemon = RelayDaemon(settings, path, PlatformDialect(), PlatformStoreDialect())
        cut = self.cut_by_name[name] = EndpointCut(lambda: self.endpoint_addresses)
        cut.install(daemon)
        await daemon.start()
        return daemon

    async def replace_engine(self, index: int, pause_seconds: float = 0.0) -> None:
        """Remove an engine, start another one after a pause; wait until it holds layers."""
        removed = self.engines.pop(index)
        removed.remove()
        removed.stop()
        await asyncio.sleep(pause_seconds)
        number = len(self.store.object_by_key) + self.store.revision
        engine = Engine(self.store, f"engine-{number}", "model", "dc-a", 96, "card")
        await engine.start()
        self.engines.insert(index, engine)
        for known in self.engines:
            known.set_peers(self.engines)
        await self.wait(lambda: bool(engine.layers), "layers of the new engine")

    async def stop(self) -> None:
        """Stop the daemon and all stand-ins."""
        self.pool.close()
        if self.daemon is not None:
            await self.daemon.shutdown()
        for endpoint in (*self.engines, *self.desks):
            endpoint.stop()
        self.store.stop()

    async def wait(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds; ``what`` names it in the failure message."""
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, f"no {what} in {WAIT_SECONDS} s"
            await asyncio.sleep(0.01)

    async def send(
        self,
        method: bytes,
        path: bytes,
        attempt: bytes = b"a1",
        daemon: RelayDaemon | None = None,
        **headers: bytes,
    ) -> Http1Connection:
        """Send a request on a new connection, to the first daemon by default; return it."""
        connection = await self.pool.acquire((daemon or self.daemon).address, fresh=True)
        key = headers.pop("key", API_KEY)
        sent = caller_headers(attempt, key=key, deadline_ms=headers.pop("deadline", b"5000"))
        sent += [(name.replace("_", "-").encode(), value) for name, value in headers.items()]
        await connection.send(method, path, sent, b"")
        return connection

    async def ask(
        self,
        method: bytes,
        path: bytes,
        attempt: bytes = b"a1",
        daemon: RelayDaemon | None = None,
        **headers: bytes,
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and return the head and the body of its response."""
        connection = await self.send(method, path, attempt, daemon, **headers)
        head = await connection.read_head()
        body = b""
        while (data := await connection.read_body_part()) is not None:
            body += data
        return head, body


class RelayFleet:
    """Three daemons on one test bed; ``daemon_for`` gives each in turn."""

    def __init__(self, testbed: RelayTestBed) -> None:
        self.testbed = testbed
        self.daemons: list[RelayDaemon] = []

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start the test bed and the daemons, and wait until they exchange state."""
        await self.testbed.start()
        others = [
            await self.testbed.start_daemon(f"entry-{number}", self.testbed.store.address)
            for number in (2, 3)
        ]
        await self.testbed.wait(lambda: all(d.reachable_peers for d in others), "peers")
        self.daemons = [self.testbed.daemon, *others]

    async def stop(self) -> None:
        """Stop the daemons that still run and the test bed, which stops its own."""
        for daemon in self.daemons:
            if daemon is not self.testbed.daemon:
                await daemon.shutdown()
        await self.testbed.stop()

    def cut_of(self, daemon: RelayDaemon) -> EndpointCut:
        """Return the paths of a daemon to the endpoints, which a test can cut."""
        return self.testbed.cut_by_name[f"entry-{self.daemons.index(daemon) + 1}"]

    def daemon_for(self, number: int) -> RelayDaemon:
        """Return the daemon that gets the request with a number."""
        return self.daemons[number % len(self.daemons)]
