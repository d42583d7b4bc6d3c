"""Brings engines to the layers that the plan gives them: one daemon, under a lease.

The plan lies in the platform's store, so that a successor goes on with it.
"""

import asyncio
import logging
import time

import msgspec

from ragwortpaddled.coordination._engine_reports import EngineReports
from ragwortpaddled.coordination._lease import Lease
from ragwortpaddled.coordination._relay_fleet import RelayFleet
from ragwortpaddled.errors import PlatformError, TransportError
from ragwortpaddled.protocol import (
    Dialect,
    EndpointEntry,
    LayeredModel,
    LayerRange,
    PlaceOrder,
    Platform,
)
from ragwortpaddled.state import Chain, Engine, Stage, repair_chains
from ragwortpaddled.transport import HttpClient

LEASE_SECONDS = 0.8  # a quarter of the lease's duration
STANDBY_SECONDS = 1.6  # reads of daemons that do not hold the lease
HOLDER_SECONDS = 2.0  # of silence after which a peer's word on the lease is too old
SETTLE_SECONDS = 0.6  # endpoints register within a second of each other at a start
REPAIR_SETTLE_SECONDS = 0.1  # a chain with a hole serves nothing; flocks of entries come together
# An accepted order shows in the endpoint's entry within a heartbeat, if nothing is to be loaded.
REPEAT_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 1.0
BUSY_STATUS = 409  # an engine finishes an earlier order first
BUSY_SECONDS = 0.5  # loading a tenth of the layers takes about a second
TICK_SECONDS = 0.1
PURPOSE = "placement"
PLAN_PREFIX = "placements/"

logger = logging.getLogger(__name__)


class _StageValue(msgspec.Struct, frozen=True):
    engine: str
    first: int
    end: int


class _PlanValue(msgspec.Struct, frozen=True):
    fencing: int
    chains: list[list[_StageValue]]


class Placer:
    """Plans and orders the layers of every layered pool while it holds the lease."""

    def __init__(
        self,
        fleet: RelayFleet,
        platform: Platform,
        http: HttpClient,
        dialect: Dialect,
        reports: EngineReports,
        holder: str,
    ) -> None:
        self._fleet = fleet
        self._reports = reports
        self._platform = platform
        self._http = http
        self._dialect = dialect
        self._lease = Lease(platform, PURPOSE, holder)
        self._plans: dict[str, _Plan] = {}
        self._changed_at = time.monotonic()
        self._ordered_by_id: dict[str, tuple[LayerRange, float]] = {}
        self._unsure_ids: set[str] = set()
        self._orders: set[asyncio.Task[None]] = set()
        self._fencing = 0
        self._holder_heard_at = -HOLDER_SECONDS
        fleet.on_change(self._note_change)

    @property
    def holds_lease(self) -> bool:
        """Tell whether this daemon places layers now."""
        return self._lease.remaining() > 0

    def note_holder(self) -> None:
        """Take in that a peer holds the lease, so that the store need not be asked."""
        self._holder_heard_at = time.monotonic()

    async def run(self) -> None:
        """Hold the lease and place layers for the life of the daemon."""
        renew_at = 0.0
        while True:
            now = time.monotonic()
            held_elsewhere = now - self._holder_heard_at < HOLDER_SECONDS
            if now >= renew_at and self._pools() and (self.holds_lease or not held_elsewhere):
                held = await self._lease.keep()
                renew_at = now + (LEASE_SECONDS if held else STANDBY_SECONDS)
                if held and self._fencing != self._lease.fencing:
                    await self._read_plans()
            if self._lease.remaining() > ORDER_TIMEOUT_SECONDS:
                await self._place()
            await asyncio.sleep(TICK_SECONDS)

    async def close(self) -> None:
        """Let the lease go."""
        for task in self._orders:
            task.cancel()
        await self._lease.give_up()

    def _note_change(self) -> None:
        self._changed_at = time.monotonic()

    def _pools(self) -> dict[str, LayeredModel]:
        config = self._fleet.config
        if config is None:
            return {}
        return {p.name: p.model for p in config.pool_by_name.values() if p.model is not None}

    async def _read_plans(self) -> None:
        """Take up the plans as they are stored, at a take-over and after a write that failed."""
        try:
            plans = {}
            for pool in self._pools():
                plans[pool] = await _read_plan(self._platform, pool)
        except PlatformError as error:
            logger.warning("plan not read", extra={"fields": {"reason": str(error)}})
            return
        self._plans = plans
        self._ordered_by_id.clear()
        # The holder before may have given these orders just now.
        self._unsure_ids = {
            stage.engine_id for plan in plans.values() for chain in plan.chains for stage in chain
        }
        self._fencing = self._lease.fencing
        logger.info("placement taken up", extra={"fields": {"fencing": self._fencing}})

    async def _place(self) -> None:
        if self._fencing != self._lease.fencing:
            return
        for pool, model in self._pools().items():
            plan = self._plans.get(pool)
            if plan is None:
                plan = self._plans[pool] = _Plan(0, [])
            entries = {
                e.id: e
                for e in self._fleet.in_pool(pool)
                if not e.leaving and not self._fleet.loads.of(e.id).lost(time.monotonic())
            }
            await self._update_plan(pool, model, plan, entries)
            self._order(plan, entries)

    async def _update_plan(
        self,
        pool: str,
        model: LayeredModel,
        plan: "_Plan",
        entries: dict[str, EndpointEntry],
    ) -> None:
        whole = all(s.engine_id in entries for chain in plan.chains for s in chain)
        if plan.chains and whole and plan.seen == set(entries):
            return
        settle_seconds = REPAIR_SETTLE_SECONDS if plan.chains else SETTLE_SECONDS
        if time.monotonic() - self._changed_at < settle_seconds:
            return
        engines = [
            Engine(e.id, e.data_centre, e.kind, e.layers)
            for e in entries.values()
            if e.kind in model.kind_by_name
        ]
        chains = repair_chains(model, plan.chains, engines)
        plan.seen = set(entries)
        if chains == plan.chains:
            return
        try:
            plan.version = await _write_plan(
                self._platform, pool, chains, plan.version, self._fencing
            )
        except PlatformError as error:
            logger.warning("plan not written", extra={"fields": {"reason": str(error)}})
            self._fencing = 0
            return
        plan.chains = chains
        fields = {
            "pool": pool,
            "chains": len(chains),
            "engines": sum(len(chain) for chain in chains),
            "of": len(engines),
        }
        logger.info("placement planned", extra={"fields": fields})

    def _order(self, plan: "_Plan", entries: dict[str, EndpointEntry]) -> None:
        now = time.monotonic()
        for stage in (stage for chain in plan.chains for stage in chain):
            entry = entries.get(stage.engine_id)
            if entry is None or entry.layers == stage.layers:
                continue
            last = self._ordered_by_id.get(stage.engine_id)
            if last is not None and last[0] == stage.layers and now - last[1] < REPEAT_SECONDS:
                continue
            self._ordered_by_id[stage.engine_id] = (stage.layers, now)
            repeated = last is not None and last[0] == stage.layers
            unsure = stage.engine_id in self._unsure_ids
            self._unsure_ids.discard(stage.engine_id)
            give = self._give_again if repeated or unsure else self._give
            task = asyncio.create_task(give(entry, stage))
            self._orders.add(task)
            task.add_done_callback(self._orders.discard)

    async def _give_again(self, entry: EndpointEntry, stage: Stage) -> None:
        """Repeat an order, unless the engine is at it: it would begin to load anew."""
        report = await self._reports.read(entry.address)
        if report is None or report.ordered or report.layers == stage.layers:
            fields = {
                "endpoint": entry.id,
                "layers": str(stage.layers),
                "answers": report is not None,
                "held": str(report.layers or "") if report is not None else "",
            }
            logger.info("order not repeated", extra={"fields": fields})
            return
        await self._give(entry, stage)

    async def _give(self, entry: EndpointEntry, stage: Stage) -> None:
        order = PlaceOrder(stage.layers, self._fencing)
        fields = {
            "endpoint": entry.id,
            "layers": str(stage.layers),
            "held": str(entry.layers or ""),
            "fencing": order.fencing,
        }
        try:
            reply = await self._http.exchange(
                "POST",
                f"http://{entry.address}{self._dialect.order_path}",
                body=self._dialect.encode_place(order),
                headers=self._dialect.order_headers(entry.id),
                timeout_seconds=ORDER_TIMEOUT_SECONDS,
            )
        except TransportError as error:
            logger.warning("order lost", extra={"fields": {**fields, "reason": str(error)}})
            return
        logger.info("order given", extra={"fields": {**fields, "status": reply.status}})
        if reply.status == BUSY_STATUS:
            asked_at = time.monotonic() - REPEAT_SECONDS + BUSY_SECONDS
            self._ordered_by_id[entry.id] = (stage.layers, asked_at)


class _Plan:
    """The chains of one pool, and the engines that were weighed for them."""

    def __init__(self, version: int, chains: list[Chain]) -> None:
        self.version = version
        self.chains = chains
        self.seen: set[str] = set()


async def _read_plan(platform: Platform, pool: str) -> _Plan:
    stored = await platform.get(PLAN_PREFIX + pool, PURPOSE)
    if stored is None:
        return _Plan(0, [])
    try:
        value = msgspec.json.decode(stored.value, type=_PlanValue)
    except msgspec.MsgspecError as error:
        fields = {"key": stored.key, "reason": str(error)}
        logger.warning("plan not readable, planned anew", extra={"fields": fields})
        return _Plan(stored.version, [])
    chains = [
        tuple(Stage(s.engine, LayerRange(s.first, s.end)) for s in chain) for chain in value.chains
    ]
    return _Plan(stored.version, chains)


async def _write_plan(
    platform: Platform, pool: str, chains: list[Chain], version: int, fencing: int
) -> int:
    stages = [
        [_StageValue(s.engine_id, s.layers.first, s.layers.end) for s in chain] for chain in chains
    ]
    value = msgspec.json.encode(_PlanValue(fencing, stages)).decode()
    return await platform.put(PLAN_PREFIX + pool, value, version, PURPOSE)
