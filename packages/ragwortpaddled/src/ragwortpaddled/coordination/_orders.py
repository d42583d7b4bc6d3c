"""Brings engines to the version that their pool asks for: one daemon a pool, under a lease."""

import asyncio
import logging
import time
from dataclasses import dataclass

from ragwortpaddled.coordination._directory import Directory
from ragwortpaddled.coordination._lease import DURATION_SECONDS, Lease
from ragwortpaddled.coordination._releases import ReleaseFollower
from ragwortpaddled.coordination._summaries import Fleet
from ragwortpaddled.errors import EndpointError
from ragwortpaddled.protocol import EngineClient, Order, Platform
from ragwortpaddled.state import Endpoint, Pool, choose

INTERVAL_SECONDS = DURATION_SECONDS / 4
ORDER_TIMEOUT_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 1.0
MAX_TRIES = 5

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Progress:
    """How often an endpoint was told to reach a version, and when it may be told again."""

    version: str
    tries: int = 0
    next_at: float = 0.0


class OrderKeeper:
    """Orders what the release asks for, and reads back what became of it."""

    def __init__(
        self,
        fleet: Fleet,
        releases: ReleaseFollower,
        directory: Directory,
        engines: EngineClient,
        platform: Platform,
    ) -> None:
        self._fleet = fleet
        self._releases = releases
        self._directory = directory
        self._engines = engines
        self._platform = platform
        self._lease_by_pool: dict[str, Lease] = {}
        self._progress_by_endpoint: dict[str, _Progress] = {}

    def given_up(self) -> list[str]:
        """Return the endpoints that did not follow their orders."""
        return [n for n, p in self._progress_by_endpoint.items() if p.tries >= MAX_TRIES]

    async def run(self) -> None:
        """Keep orders for the life of the daemon."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            release = self._releases.current
            if release is None:
                continue
            for pool in release.objects.pool_by_name.values():
                if pool.serves == "model" and pool.version:
                    await self._keep(pool)

    async def close(self) -> None:
        """Let every lease go."""
        for lease in self._lease_by_pool.values():
            await lease.give_up()

    async def _keep(self, pool: Pool) -> None:
        lease = self._lease_by_pool.get(pool.name)
        own = self._fleet.membership.own
        chosen = choose(self._fleet.address_by_name(), f"orders/{pool.name}") == own.name
        if not chosen and (lease is None or lease.remaining() <= 0):
            return
        behind = [e for e in self._directory.endpoints.in_pool(pool.name) if _behind(e, pool)]
        if lease is None:
            if not behind:
                return
            holder = f"{own.name}/{own.incarnation}"
            lease = self._lease_by_pool[pool.name] = Lease(self._platform, pool.name, holder)
        if not behind or not chosen:
            await lease.give_up()
            del self._lease_by_pool[pool.name]
            return
        if await lease.keep():
            await self._order_one(pool, lease, behind)

    async def _order_one(self, pool: Pool, lease: Lease, behind: list[Endpoint]) -> None:
        """Give at most one order: loads share the weight store, and replicas must go on serving."""
        now = time.monotonic()
        held_seconds = now - lease.held_since
        if pool.fencing == "ignored" and held_seconds < ORDER_TIMEOUT_SECONDS:
            # Such engines take any order, so a predecessor's last one must have ended.
            return
        for endpoint in behind:
            progress = self._progress_by_endpoint.get(endpoint.name)
            if progress is None or progress.version != pool.version:
                progress = _Progress(pool.version)
                self._progress_by_endpoint[endpoint.name] = progress
            if progress.tries >= MAX_TRIES or now < progress.next_at:
                continue
            if not self._may_go(endpoint):
                continue
            progress.tries += 1
            progress.next_at = now + FIRST_PAUSE_SECONDS * 2**progress.tries
            await self._give(pool, lease, endpoint)
            return

    async def _give(self, pool: Pool, lease: Lease, endpoint: Endpoint) -> None:
        order = Order(lease.fencing, pool.model, pool.version)
        if lease.remaining() <= ORDER_TIMEOUT_SECONDS:
            return
        try:
            taken = await self._engines.order(
                endpoint.name, endpoint.vm.address, order, ORDER_TIMEOUT_SECONDS
            )
        except EndpointError as error:
            logger.warning("order to %s: %s", endpoint.name, error.reason)
            return
        if not taken:
            logger.warning("%s refused fencing number %d", endpoint.name, lease.fencing)
            return
        logger.info("%s was told to load %s %s", endpoint.name, pool.model, pool.version)

    def _may_go(self, endpoint: Endpoint) -> bool:
        """Tell whether another endpoint serves the same layers meanwhile."""
        now = time.monotonic()
        return any(
            other is not endpoint
            and other.serving(now)
            and other.report.first_layer == endpoint.report.first_layer
            and other.report.end_layer == endpoint.report.end_layer
            for other in self._directory.endpoints.in_pool(endpoint.vm.pool)
        )


def _behind(endpoint: Endpoint, pool: Pool) -> bool:
    report = endpoint.report
    return bool(report.version) and not endpoint.leaving and report.version != pool.version
