"""Everything around the daemons: the store, engines and services, each behind a proxy."""

import asyncio
import random
import socket
import time
from pathlib import Path

from ragwortpaddle_standins.users_platform import (
    Endpoint,
    Engine,
    Service,
    Store,
    StoreDoor,
    configuration,
)

from soak._daemon import START_SECONDS, Daemon
from soak._proxy import Proxy

CONTACT_SECONDS = 3.0  # how long after a disturbance time bounds do not hold for what it struck
LEAVE_SECONDS = 2.0  # the platform's bound on new work for an endpoint that leaves
DAEMONS = 3
CHAINS = 3  # of two engines
DESKS = 3
FIXED_PORTS = (10_000, 30_000)  # below the range of outgoing connections
EXTRA = "extra"  # a route that comes and goes


class World:
    """One installation on loopback."""

    def __init__(self, directory: Path, random_source: random.Random) -> None:
        self.random_source = random_source
        self.store = Store()
        self.engines: list[Engine] = []
        self.desks: list[Service] = []
        self.proxy_by_endpoint: dict[str, Proxy] = {}
        self.doors = [StoreDoor(self.store) for _ in range(DAEMONS)]
        self.store_proxies: list[Proxy] = []
        self.daemons: list[Daemon] = []
        self.version = 1
        self.began = time.monotonic()
        self.outages: list[tuple[float, float]] = []  # of the store, for everybody
        self.extra_since: list[tuple[float, bool]] = []
        self._directory = directory
        self._numbers = iter(range(1000))

    @property
    def endpoints(self) -> list[Endpoint]:
        """Return every endpoint that there ever was."""
        return [*self.engines, *self.desks]

    async def start(self) -> None:
        """Start everything and wait until every daemon is ready and layers are placed."""
        self.publish(with_extra=False)
        for _ in range(2 * CHAINS):
            await self.add_engine()
        for _ in range(DESKS):
            await self.add_desk()
        for index, door in enumerate(self.doors):
            await door.start()
            proxy = Proxy(door.address)
            await proxy.start()
            self.store_proxies.append(proxy)
            self.daemons.append(
                Daemon(f"entry-{index}", self._directory, proxy.address, _free_ports(4))
            )
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        deadline = time.monotonic() + START_SECONDS
        while not all(engine.layers for engine in self.engines):
            if time.monotonic() > deadline:
                raise TimeoutError("layers are not placed")
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        for proxy in (*self.proxy_by_endpoint.values(), *self.store_proxies):
            await proxy.stop()
        for endpoint in self.endpoints:
            endpoint.stop()
        for door in self.doors:
            door.stop()

    def publish(self, *, with_extra: bool) -> None:
        """Put a new configuration into force."""
        self.version += self.random_source.randint(1, 3)
        changed = configuration(self.version)
        if with_extra:
            look = next(route for route in changed["routes"] if route["name"] == "look")
            changed["routes"].append({**look, "name": EXTRA, "pathPrefix": f"/{EXTRA}/"})
        self.store.put("config", "main", changed)
        self.extra_since.append((time.monotonic(), with_extra))

    async def add_engine(self) -> Engine:
        """Start an empty engine."""
        engine = Engine(self.store, f"engine-{next(self._numbers)}", "model", "dc-a", 96, "card")
        self.engines.append(engine)
        await self._put_behind_proxy(engine)
        for each in self.engines:
            each.join(self.engines)
        return engine

    async def add_desk(self) -> Service:
        """Start a plain service."""
        desk = Service(self.store, f"desk-{next(self._numbers)}", "desk", "dc-a")
        self.desks.append(desk)
        await self._put_behind_proxy(desk)
        return desk

    async def _put_behind_proxy(self, endpoint: Endpoint) -> None:
        await endpoint.start()
        proxy = Proxy(endpoint.address)
        await proxy.start()
        self.proxy_by_endpoint[endpoint.id] = proxy
        endpoint.public_address = proxy.address
        endpoint.register()


def _free_ports(count: int) -> list[int]:
    """Return ports that are free, and that the system gives to no outgoing connection meanwhile."""
    randomness = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        port = randomness.randrange(*FIXED_PORTS)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        ports.append(port)
    return ports
