"""Assigns model layers to engines: one daemon plans and sends the orders while it holds a lease.

The plan is kept in the platform's store, so that the next lease holder continues with it.
"""

import asyncio
import logging
import time
from typing import Annotated

import msgspec

from ragwortpaddled.coordination._engine_reports import EngineReports
from ragwortpaddled.coordination._lease import Lease
from ragwortpaddled.coordination._relay_directory import RelayDirectory
from ragwortpaddled.errors import (
    ObjectsError,
    PlatformError,
    TransportError,
    WriteOutcomeUnknownError,
)
from ragwortpaddled.protocol import (
    ABSENT_VERSION,
    Dialect,
    EndpointEntry,
    LayeredModel,
    LayerIndex,
    LayerRange,
    PlacementOrder,
    PlatformClient,
    Version,
    decode_json,
)
from ragwortpaddled.state import Chain, Engine, Stage, repair_chains
from ragwortpaddled.transport import HttpExchange

LEASE_RENEWAL_SECONDS = 0.8  # about a quarter of the lease's duration
STANDBY_POLL_SECONDS = 1.6  # interval of lease reads by daemons that do not hold it
HOLDER_TIMEOUT_SECONDS = 2.0  # how long a peer's claim to hold the lease is trusted
INITIAL_PLAN_DELAY_SECONDS = 0.6  # at a start, endpoints register within a second of each other
REPAIR_PLAN_DELAY_SECONDS = 0.1  # an incomplete chain serves nothing; entries change in bursts
# An accepted order shows in the endpoint's entry within a heartbeat if no layers must be loaded.
RESEND_INTERVAL_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 1.0
BUSY_STATUS = 409  # the engine is still executing an earlier order
OUTDATED_TOKEN_STATUS = 412  # the engine has seen a higher fencing token
BUSY_RETRY_SECONDS = 0.5  # loading a tenth of the layers takes about a second
LOOP_INTERVAL_SECONDS = 0.1
PURPOSE = "placement"
PLAN_PREFIX = "placements/"

logger = logging.getLogger(__name__)


class _StageValue(msgspec.Struct, frozen=True):
    engine: str
    first: LayerIndex
    end: LayerIndex

    def __post_init__(self) -> None:
        if self.first >= self.end:
            raise ValueError(f"layers {self.first}-{self.end} are empty")


class _PlanValue(msgspec.Struct, frozen=True):
    fencing: Version
    chains: list[Annotated[list[_StageValue], msgspec.Meta(min_length=1)]]


class LayerPlacer:
    """Plans the layers of every layered pool and orders engines to load them, under a lease."""

    def __init__(
        self,
        relay_directory: RelayDirectory,
        platform: PlatformClient,
        http: HttpExchange,
        dialect: Dialect,
        reports: EngineReports,
        holder: str,
    ) -> None:
        self._relay_directory = relay_directory
        self._reports = reports
        self._platform = platform
        self._http = http
        self._dialect = dialect
        self._lease = Lease(platform, PURPOSE, holder)
        self._plan_by_pool: dict[str, _Plan] = {}
        self._fleet_changed_at = time.monotonic()
        self._last_order_by_id: dict[str, tuple[LayerRange, float]] = {}
        self._possibly_ordered_ids: set[str] = set()
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._fencing_token = 0
        self._peer_holder_seen_at = -HOLDER_TIMEOUT_SECONDS
        relay_directory.add_change_listener(self._on_fleet_change)

    @property
    def holds_lease(self) -> bool:
        """Return whether this daemon holds the lease and so places layers."""
        return self._lease.remaining_seconds() > 0

    @property
    def highest_fencing_token(self) -> int:
        """Return the highest fencing token that this daemon knows of."""
        return self._lease.highest_token

    def record_peer_state(self, *, holds_lease: bool, fencing_token: int) -> None:
        """Record whether a peer holds the lease, which saves a read of the store, and its token."""
        self._lease.observe_token(fencing_token)
        if holds_lease:
            self._peer_holder_seen_at = time.monotonic()

    async def run(self) -> None:
        """Keep the lease where possible and place layers under it, for the life of the daemon."""
        next_renewal_at = 0.0
        while True:
            now = time.monotonic()
            held_elsewhere = now - self._peer_holder_seen_at < HOLDER_TIMEOUT_SECONDS
            if (
                now >= next_renewal_at
                and self._model_by_pool()
                and (self.holds_lease or not held_elsewhere)
            ):
                held = await self._lease.acquire_or_renew()
                next_renewal_at = now + (LEASE_RENEWAL_SECONDS if held else STANDBY_POLL_SECONDS)
                if held and self._fencing_token != self._lease.fencing_token:
                    await self._load_plans()
            if self._lease.remaining_seconds() > ORDER_TIMEOUT_SECONDS:
                await self._update_placement()
            await asyncio.sleep(LOOP_INTERVAL_SECONDS)

    async def close(self) -> None:
        """Cancel outstanding orders and release the lease."""
        for task in self._order_tasks:
            task.cancel()
        await self._lease.release()

    def _on_fleet_change(self) -> None:
        self._fleet_changed_at = time.monotonic()

    def _model_by_pool(self) -> dict[str, LayeredModel]:
        config = self._relay_directory.config
        if config is None:
            return {}
        return {p.name: p.model for p in config.pool_by_name.values() if p.model is not None}

    async def _load_plans(self) -> None:
        """Load the stored plans, after acquiring the lease and after a failed write."""
        fencing_token = self._lease.fencing_token
        try:
            plan_by_pool = {}
            for pool in self._model_by_pool():
                plan = await _read_plan(self._platform, pool)
                known = self._plan_by_pool.get(pool)
                if known is not None and known.fencing >= plan.fencing:
                    # No daemon has planned since under a higher token, so a plan that differs is
                    # older: the store was restored from a copy.
                    await self._restore_plan(pool, known, plan, fencing_token)
                    plan = known
                plan_by_pool[pool] = plan
        except PlatformError as error:
            logger.warning(
                "placement plan not read or restored", extra={"fields": {"reason": str(error)}}
            )
            return
        self._plan_by_pool = plan_by_pool
        self._last_order_by_id.clear()
        # The previous lease holder may have sent these orders a moment ago.
        self._possibly_ordered_ids = {
            stage.engine_id
            for plan in plan_by_pool.values()
            for chain in plan.chains
            for stage in chain
        }
        self._fencing_token = fencing_token
        logger.info("placement plans loaded", extra={"fields": {"fencing": self._fencing_token}})

    async def _restore_plan(
        self, pool: str, known: "_Plan", stored: "_Plan", fencing_token: int
    ) -> None:
        """Write the known plan if the stored one is older."""
        known.version = stored.version
        if known.chains == stored.chains:
            return
        known.version = await _write_plan(
            self._platform, pool, known.chains, stored.version, fencing_token
        )
        known.fencing = fencing_token
        logger.info("newer placement plan stored again", extra={"fields": {"pool": pool}})

    async def _update_placement(self) -> None:
        if self._fencing_token != self._lease.fencing_token:
            return
        for pool, model in self._model_by_pool().items():
            plan = self._plan_by_pool.get(pool)
            if plan is None:
                plan = self._plan_by_pool[pool] = _Plan(ABSENT_VERSION, 0, [])
            entries = {
                e.id: e
                for e in self._relay_directory.endpoints_in_pool(pool)
                if not e.leaving
                and not self._relay_directory.loads.get(e.id).confirmed_lost(time.monotonic())
            }
            await self._update_plan(pool, model, plan, entries)
            self._send_due_orders(plan, entries)

    async def _update_plan(
        self,
        pool: str,
        model: LayeredModel,
        plan: "_Plan",
        entries: dict[str, EndpointEntry],
    ) -> None:
        complete = all(s.engine_id in entries for chain in plan.chains for s in chain)
        if plan.chains and complete and plan.planned_ids == set(entries):
            return
        delay_seconds = REPAIR_PLAN_DELAY_SECONDS if plan.chains else INITIAL_PLAN_DELAY_SECONDS
        if time.monotonic() - self._fleet_changed_at < delay_seconds:
            return
        engines = [
            Engine(e.id, e.data_centre, e.kind, e.layers)
            for e in entries.values()
            if e.kind in model.kind_by_name
        ]
        chains = repair_chains(model, plan.chains, engines)
        plan.planned_ids = set(entries)
        if chains == plan.chains:
            return
        try:
            plan.version = await _write_plan(
                self._platform, pool, chains, plan.version, self._fencing_token
            )
        except PlatformError as error:
            logger.warning("placement plan not written", extra={"fields": {"reason": str(error)}})
            self._fencing_token = 0
            if isinstance(error, WriteOutcomeUnknownError):
                del self._plan_by_pool[pool]  # the stored plan may be newer
            return
        plan.chains = chains
        plan.fencing = self._fencing_token
        fields = {
            "pool": pool,
            "chains": len(chains),
            "engines": sum(len(chain) for chain in chains),
            "of": len(engines),
            "lost": sorted(self._relay_directory.loads.confirmed_lost_ids()),
        }
        logger.info("placement plan changed", extra={"fields": fields})

    def _send_due_orders(self, plan: "_Plan", entries: dict[str, EndpointEntry]) -> None:
        now = time.monotonic()
        for stage in (stage for chain in plan.chains for stage in chain):
            entry = entries.get(stage.engine_id)
            if entry is None or entry.layers == stage.layers:
                continue
            last = self._last_order_by_id.get(stage.engine_id)
            if (
                last is not None
                and last[0] == stage.layers
                and now - last[1] < RESEND_INTERVAL_SECONDS
            ):
                continue
            self._last_order_by_id[stage.engine_id] = (stage.layers, now)
            repeated = last is not None and last[0] == stage.layers
            possibly_ordered = stage.engine_id in self._possibly_ordered_ids
            self._possibly_ordered_ids.discard(stage.engine_id)
            send = self._resend_order if repeated or possibly_ordered else self._send_order
            task = asyncio.create_task(send(entry, stage))
            self._order_tasks.add(task)
            task.add_done_callback(self._order_tasks.discard)

    async def _resend_order(self, entry: EndpointEntry, stage: Stage) -> None:
        """Send an order again unless the engine is executing it, since it would restart loading."""
        report = await self._reports.read(entry.address)
        if report is None or report.order_in_progress or report.layers == stage.layers:
            fields = {
                "endpoint": entry.id,
                "layers": str(stage.layers),
                "answers": report is not None,
                "held": str(report.layers or "") if report is not None else "",
            }
            logger.info("order not resent", extra={"fields": fields})
            return
        await self._send_order(entry, stage)

    async def _send_order(self, entry: EndpointEntry, stage: Stage) -> None:
        order = PlacementOrder(stage.layers, self._fencing_token)
        fields = {
            "endpoint": entry.id,
            "layers": str(stage.layers),
            "held": str(entry.layers or ""),
            "fencing": order.fencing,
        }
        if self._lease.remaining_seconds() <= ORDER_TIMEOUT_SECONDS:
            # The process may have been paused since the order was decided, and not every engine
            # checks the fencing token.
            logger.warning("order not sent, the lease may have expired", extra={"fields": fields})
            return
        try:
            reply = await self._http.exchange(
                "POST",
                f"http://{entry.address}{self._dialect.order_path}",
                body=self._dialect.encode_placement_order(order),
                headers=self._dialect.build_order_headers(entry.id),
                timeout_seconds=ORDER_TIMEOUT_SECONDS,
            )
        except TransportError as error:
            logger.warning("order lost", extra={"fields": {**fields, "reason": str(error)}})
            return
        logger.info("order given", extra={"fields": {**fields, "status": reply.status}})
        if reply.status == OUTDATED_TOKEN_STATUS and order.fencing == self._lease.fencing_token:
            logger.warning("lease given up, an engine has seen a higher fencing token")
            self._lease.forfeit()
        if reply.status == BUSY_STATUS:
            sent_at = time.monotonic() - RESEND_INTERVAL_SECONDS + BUSY_RETRY_SECONDS
            self._last_order_by_id[entry.id] = (stage.layers, sent_at)


class _Plan:
    """The chains of one pool, and the ids of the engines considered for them.

    ``fencing`` is the token under which the chains were planned.
    """

    def __init__(self, version: int, fencing: int, chains: list[Chain]) -> None:
        self.version = version
        self.fencing = fencing
        self.chains = chains
        self.planned_ids: set[str] = set()


async def _read_plan(platform: PlatformClient, pool: str) -> _Plan:
    stored = await platform.get(PLAN_PREFIX + pool, PURPOSE)
    if stored is None:
        return _Plan(ABSENT_VERSION, 0, [])
    try:
        value = decode_json(stored.value, _PlanValue)
    except ObjectsError as error:
        fields = {"key": stored.key, "reason": str(error)}
        logger.warning("malformed placement plan ignored, planning again", extra={"fields": fields})
        return _Plan(stored.version, 0, [])
    chains = [
        tuple(Stage(s.engine, LayerRange(s.first, s.end)) for s in chain) for chain in value.chains
    ]
    return _Plan(stored.version, value.fencing, chains)


async def _write_plan(
    platform: PlatformClient, pool: str, chains: list[Chain], version: int, fencing: int
) -> int:
    stages = [
        [_StageValue(s.engine_id, s.layers.first, s.layers.end) for s in chain] for chain in chains
    ]
    value = msgspec.json.encode(_PlanValue(fencing, stages)).decode()
    return await platform.put(PLAN_PREFIX + pool, value, version, PURPOSE)
