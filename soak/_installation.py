"""An installation on loopback: daemons, and the store, engines and services behind proxies."""

import asyncio
import random
import socket
import time
from collections.abc import Callable
from pathlib import Path

from ragwortpaddle_standins.relay_platform import (
    Endpoint,
    Engine,
    Service,
    Store,
    StoreFrontend,
    configuration,
)

from soak._daemon import START_TIMEOUT_SECONDS, Daemon
from soak._linked_daemon import ENDPOINT_HOST
from soak._proxy import Proxy

DISTURBANCE_GRACE_SECONDS = 3.0  # time limits apply again this long after a disturbance
MAX_WITHDRAWAL_LAG_SECONDS = 2.0  # the platform's limit on new requests to a withdrawn endpoint
DAEMON_COUNT = 3
DAEMON_PORT_COUNT = 5
CHAIN_COUNT = 3  # each of two engines
SERVICE_COUNT = 3
FIXED_PORT_RANGE = (10_000, 30_000)  # below the ephemeral ports
OPTIONAL_ROUTE = "extra"  # a route that only some configurations contain


class Installation:
    """The processes, stand-ins and proxies of one soak run."""

    def __init__(self, directory: Path, random_source: random.Random) -> None:
        self.random_source = random_source
        self.store = Store()
        self.engines: list[Engine] = []
        self.services: list[Service] = []
        self.proxies_by_endpoint: dict[str, list[Proxy]] = {}  # one for each daemon
        self.store_frontends = [StoreFrontend(self.store) for _ in range(DAEMON_COUNT)]
        self.store_proxies: list[Proxy] = []
        self.daemons: list[Daemon] = []
        self.configuration_version = 1
        self.started_at = time.monotonic()
        self.store_outages: list[tuple[float, float]] = []  # start and end times
        # The fault functions that were called, with start and end times.
        self.fault_calls: list[tuple[Callable[..., object], float, float]] = []
        self.optional_route_history: list[tuple[float, bool]] = []
        self._directory = directory
        self._endpoint_numbers = iter(range(1000))

    @property
    def endpoints(self) -> list[Endpoint]:
        """Return every endpoint that was started, including those that were withdrawn."""
        return [*self.engines, *self.services]

    async def start(self) -> None:
        """Start everything, wait until every engine has layers, then for one more second."""
        self.publish(with_optional_route=False)
        for index, frontend in enumerate(self.store_frontends):
            await frontend.start()
            proxy = Proxy(frontend.address)
            await proxy.start()
            self.store_proxies.append(proxy)
            ports = [find_free_port("127.0.0.1") for _ in range(DAEMON_PORT_COUNT)]
            link_host = f"127.0.1.{index + 1}"
            self.daemons.append(
                Daemon(f"entry-{index}", self._directory, proxy.address, ports, link_host)
            )
        for _ in range(2 * CHAIN_COUNT):
            await self.add_engine()
        for _ in range(SERVICE_COUNT):
            await self.add_service()
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not all(engine.layers for engine in self.engines):
            if time.monotonic() > deadline:
                raise TimeoutError("not every engine was assigned layers within the start timeout")
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def stop(self) -> None:
        """Stop the daemons, then the proxies, endpoints and store addresses."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        links = [link for daemon in self.daemons for link in daemon.links]
        for proxy in (*links, *self.store_proxies):
            await proxy.stop()
        for endpoint in self.endpoints:
            endpoint.stop()
        for frontend in self.store_frontends:
            frontend.stop()

    def publish(self, *, with_optional_route: bool) -> None:
        """Publish a new configuration, with or without the optional route."""
        self.configuration_version += self.random_source.randint(1, 3)
        content = configuration(self.configuration_version)
        if with_optional_route:
            template = next(route for route in content["routes"] if route["name"] == "look")
            content["routes"].append(
                {**template, "name": OPTIONAL_ROUTE, "pathPrefix": f"/{OPTIONAL_ROUTE}/"}
            )
        self.store.put("config", "main", content)
        self.optional_route_history.append((time.monotonic(), with_optional_route))

    async def add_engine(self) -> Engine:
        """Start an engine without layers behind proxies."""
        engine = Engine(
            self.store, f"engine-{next(self._endpoint_numbers)}", "model", "dc-a", 96, "card"
        )
        self.engines.append(engine)
        await self._start_behind_proxies(engine)
        for known_engine in self.engines:
            known_engine.set_peers(self.engines)
        return engine

    async def add_service(self) -> Service:
        """Start a plain service behind proxies."""
        service = Service(self.store, f"desk-{next(self._endpoint_numbers)}", "desk", "dc-a")
        self.services.append(service)
        await self._start_behind_proxies(service)
        return service

    async def _start_behind_proxies(self, endpoint: Endpoint) -> None:
        """Start an endpoint that each daemon reaches over a link of its own."""
        port = find_free_port(*(daemon.link_host for daemon in self.daemons))
        links = []
        for daemon in self.daemons:
            link = Proxy()
            await link.start(daemon.link_host, port)
            if daemon.cut is not None:
                link.start_cut(daemon.cut)
            daemon.links.append(link)
            links.append(link)
        self.proxies_by_endpoint[endpoint.id] = links
        endpoint.public_address = f"{ENDPOINT_HOST}:{port}"
        await endpoint.start()
        for link in links:
            link.target = endpoint.address


def find_free_port(*hosts: str) -> int:
    """Return a port that is free at some hosts and that no outgoing connection takes."""
    port_random_source = random.SystemRandom()
    while True:
        port = port_random_source.randrange(*FIXED_PORT_RANGE)
        try:
            for host in hosts:
                socket.create_server((host, port)).close()
        except OSError:
            continue
        return port
