"""Brings engines to the model version of their pool.

One daemon for each pool, selected by rendezvous hashing, sends the orders while it holds a lease.
"""

import asyncio
import logging
import time
from dataclasses import dataclass

from ragwortpaddled.coordination._endpoint_directory import EndpointDirectory
from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.coordination._lease import LEASE_DURATION_SECONDS, Lease
from ragwortpaddled.coordination._releases import ReleaseTracker
from ragwortpaddled.errors import EndpointError
from ragwortpaddled.protocol import EngineClient, Order, PlatformClient
from ragwortpaddled.state import Endpoint, Pool, choose_by_rendezvous

RECONCILE_INTERVAL_SECONDS = LEASE_DURATION_SECONDS / 4
ORDER_TIMEOUT_SECONDS = 1.0
RETRY_BASE_SECONDS = 1.0
MAX_ORDER_ATTEMPTS = 5

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _OrderProgress:
    """The number of order attempts for one version of an endpoint, and the time of the next."""

    version: str
    attempts: int = 0
    next_attempt_at: float = 0.0


class VersionReconciler:
    """Orders outdated engines to load the version of their pool until they report it."""

    def __init__(
        self,
        fleet_view: FleetView,
        release_tracker: ReleaseTracker,
        endpoint_directory: EndpointDirectory,
        engines: EngineClient,
        platform: PlatformClient,
    ) -> None:
        self._fleet_view = fleet_view
        self._release_tracker = release_tracker
        self._endpoint_directory = endpoint_directory
        self._engines = engines
        self._platform = platform
        self._lease_by_pool: dict[str, Lease] = {}
        self._progress_by_endpoint: dict[str, _OrderProgress] = {}

    def endpoints_out_of_attempts(self) -> list[str]:
        """Return the endpoints for which the maximum number of order attempts was made."""
        return [
            name
            for name, progress in self._progress_by_endpoint.items()
            if progress.attempts >= MAX_ORDER_ATTEMPTS
        ]

    async def run(self) -> None:
        """Order outdated engines at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)
            release = self._release_tracker.current
            if release is None:
                continue
            for pool in release.objects.pool_by_name.values():
                if pool.serves == "model" and pool.version:
                    await self._reconcile(pool)

    async def close(self) -> None:
        """Release every lease."""
        for lease in self._lease_by_pool.values():
            await lease.release()

    async def _reconcile(self, pool: Pool) -> None:
        lease = self._lease_by_pool.get(pool.name)
        own = self._fleet_view.membership.own_origin
        selected = (
            choose_by_rendezvous(self._fleet_view.address_by_name(), f"orders/{pool.name}")
            == own.name
        )
        if not selected and (lease is None or lease.remaining_seconds() <= 0):
            return
        outdated = [
            endpoint
            for endpoint in self._endpoint_directory.endpoints.in_pool(pool.name)
            if _is_outdated(endpoint, pool)
        ]
        if lease is None:
            if not outdated:
                return
            holder = f"{own.name}/{own.incarnation}"
            lease = self._lease_by_pool[pool.name] = Lease(self._platform, pool.name, holder)
        if not outdated or not selected:
            await lease.release()
            del self._lease_by_pool[pool.name]
            return
        if await lease.acquire_or_renew():
            await self._order_next_endpoint(pool, lease, outdated)

    async def _order_next_endpoint(
        self, pool: Pool, lease: Lease, outdated: list[Endpoint]
    ) -> None:
        """Send at most one order: loads share the weight store, and replicas must go on serving."""
        now = time.monotonic()
        held_seconds = now - lease.acquired_at
        if pool.fencing == "ignored" and held_seconds < ORDER_TIMEOUT_SECONDS:
            # These engines accept any order: the previous holder's last one must have ended.
            return
        for endpoint in outdated:
            progress = self._progress_by_endpoint.get(endpoint.name)
            if progress is None or progress.version != pool.version:
                progress = _OrderProgress(pool.version)
                self._progress_by_endpoint[endpoint.name] = progress
            if progress.attempts >= MAX_ORDER_ATTEMPTS or now < progress.next_attempt_at:
                continue
            if not self._has_serving_replica(endpoint):
                continue
            progress.attempts += 1
            progress.next_attempt_at = now + RETRY_BASE_SECONDS * 2**progress.attempts
            await self._send_order(pool, lease, endpoint)
            return

    async def _send_order(self, pool: Pool, lease: Lease, endpoint: Endpoint) -> None:
        order = Order(lease.fencing_token, pool.model, pool.version)
        if lease.remaining_seconds() <= ORDER_TIMEOUT_SECONDS:
            return
        try:
            accepted = await self._engines.send_order(
                endpoint.name, endpoint.vm.address, order, ORDER_TIMEOUT_SECONDS
            )
        except EndpointError as error:
            logger.warning("order to %s failed: %s", endpoint.name, error.reason)
            return
        if not accepted:
            logger.warning(
                "%s rejected an order with fencing token %d", endpoint.name, lease.fencing_token
            )
            return
        logger.info(
            "%s was ordered to load model %s version %s", endpoint.name, pool.model, pool.version
        )

    def _has_serving_replica(self, endpoint: Endpoint) -> bool:
        """Return whether another endpoint can serve the same layers during the load."""
        now = time.monotonic()
        return any(
            other is not endpoint
            and other.serving(now)
            and other.report.first_layer == endpoint.report.first_layer
            and other.report.end_layer == endpoint.report.end_layer
            for other in self._endpoint_directory.endpoints.in_pool(endpoint.vm.pool)
        )


def _is_outdated(endpoint: Endpoint, pool: Pool) -> bool:
    report = endpoint.report
    return bool(report.version) and not endpoint.leaving and report.version != pool.version
