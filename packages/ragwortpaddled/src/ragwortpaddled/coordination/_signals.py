"""Raises signals: only where an outcome is at risk, and only on repeated evidence."""

import asyncio
import logging
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from ragwortpaddled.coordination._chain import covers
from ragwortpaddled.coordination._directory import Directory
from ragwortpaddled.coordination._orders import OrderKeeper
from ragwortpaddled.coordination._quarantine import Quarantines
from ragwortpaddled.coordination._releases import ReleaseFollower
from ragwortpaddled.coordination._summaries import Fleet
from ragwortpaddled.protocol import SIGNAL_PREFIX, Platform, Signal, encode_value
from ragwortpaddled.state import Pool

INTERVAL_SECONDS = 1.0
RAISE_AFTER_OBSERVATIONS = 3
CLEAR_AFTER_OBSERVATIONS = 3
STORE_SILENCE_SECONDS = 10.0
RELEASE_BOUND_SECONDS = 17.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Observation:
    """One look at something that is wrong."""

    kind: str
    object_name: str
    evidence: str
    done: str
    advice: str


@dataclass(slots=True)
class _Case:
    """Observations of one kind on one object, in a row."""

    seen: int = 0
    missed: int = 0
    since: float = 0.0
    raised: bool = False
    evidence: list[str] = field(default_factory=list)


class SignalBoard:
    """Turns repeated observations into signals, and clears them by itself."""

    def __init__(self) -> None:
        self._case_by_key: dict[str, _Case] = {}

    def update(self, observations: list[Observation], now: float) -> dict[str, Signal | None]:
        """Take in one look at everything; return the signals to set, None to clear one."""
        changes: dict[str, Signal | None] = {}
        observed = {f"{item.kind}/{item.object_name}": item for item in observations}
        for key, item in observed.items():
            case = self._case_by_key.setdefault(key, _Case(since=now))
            case.seen += 1
            case.missed = 0
            if item.evidence not in case.evidence:
                case.evidence = [*case.evidence, item.evidence][-3:]
            if case.seen >= RAISE_AFTER_OBSERVATIONS and not case.raised:
                case.raised = True
                changes[key] = Signal(
                    item.kind, item.object_name, case.evidence, case.since, item.done, item.advice
                )
        for key in set(self._case_by_key) - set(observed):
            case = self._case_by_key[key]
            case.missed += 1
            if not case.raised or case.missed >= CLEAR_AFTER_OBSERVATIONS:
                if case.raised:
                    changes[key] = None
                del self._case_by_key[key]
        return changes


class Watchman:
    """Looks at a daemon's parts and publishes the signals that follow."""

    def __init__(
        self,
        fleet: Fleet,
        releases: ReleaseFollower,
        directory: Directory,
        quarantines: Quarantines,
        orders: OrderKeeper,
        platform: Platform,
    ) -> None:
        self._fleet = fleet
        self._releases = releases
        self._directory = directory
        self._quarantines = quarantines
        self._orders = orders
        self._platform = platform
        self._board = SignalBoard()

    async def run(self) -> None:
        """Look again and again for the life of the daemon."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            self.look()

    def look(self) -> None:
        """Look once, and publish what changed."""
        table = self._fleet.membership.table
        for key, signal in self._board.update(list(self._observe()), time.time()).items():
            if signal is None:
                table.withdraw(SIGNAL_PREFIX + key)
                logger.info("signal %s cleared", key)
            else:
                table.publish(SIGNAL_PREFIX + key, encode_value(signal))
                logger.warning("signal %s: %s", key, "; ".join(signal.evidence))

    def signals(self) -> list[Signal]:
        """Return the signals that any daemon of the data centre raises, each once."""
        signal_by_key: dict[str, Signal] = {}
        table = self._fleet.membership.table
        for name in self._fleet.membership.live():
            for key, value in table.state_by_name[name].live_entries(SIGNAL_PREFIX):
                signal = msgspec.msgpack.decode(value, type=Signal)
                known = signal_by_key.get(key)
                if known is None or signal.since < known.since:
                    signal_by_key[key] = signal
        return list(signal_by_key.values())

    def _observe(self) -> Iterator[Observation]:
        release = self._releases.current
        if release is not None:
            for pool in release.objects.pool_by_name.values():
                yield from self._observe_pool(pool)
        yield from self._observe_store()
        yield from self._observe_releases()
        for quarantine in self._quarantines.active():
            yield Observation(
                "content_quarantined",
                quarantine.content,
                "; ".join(quarantine.evidence),
                "requests with this content are refused",
                f"look at the caller's request; lift it with a [lift:{quarantine.content}] object",
            )
        for name in self._orders.given_up():
            yield Observation(
                "order_not_followed",
                name,
                "it still reports another version after the last of its orders",
                "no more orders are given to it",
                "look at the engine, or replace its VM",
            )

    def _observe_pool(self, pool: Pool) -> Iterator[Observation]:
        now = time.monotonic()
        serving = [e for e in self._directory.endpoints.in_pool(pool.name) if e.serving(now)]
        served = bool(serving) if pool.serves == "service" else covers(serving, pool.layers)
        if not served:
            yield Observation(
                "pool_not_served",
                pool.name,
                f"the {len(serving)} endpoints that work do not serve it",
                "its requests are refused as not run",
                "start endpoints for the layers that are missing",
            )

    def _observe_store(self) -> Iterator[Observation]:
        silence = time.monotonic() - self._platform.answered_at
        if silence > STORE_SILENCE_SECONDS:
            yield Observation(
                "store_silent",
                "platform",
                "no call was answered for more than 10 s",
                "operations that run once are refused; all else goes on",
                "look at the platform's object API",
            )

    def _observe_releases(self) -> Iterator[Observation]:
        adopted_ago = time.time() - self._releases.adopted_at
        if self._releases.current is None or adopted_ago < RELEASE_BOUND_SECONDS:
            return
        for name, number in self._fleet.release_by_name().items():
            if number < self._releases.number:
                yield Observation(
                    "release_lags",
                    name,
                    f"it serves under release {number}, not {self._releases.number}",
                    "it is offered the release in every exchange",
                    "look at the daemon's log, or replace its VM",
                )
