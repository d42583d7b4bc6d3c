"""Signals to operators, raised only for persistent conditions that put requests at risk."""

import asyncio
import logging
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from ragwortpaddled.coordination._chain import covers_all_layers
from ragwortpaddled.coordination._endpoint_directory import EndpointDirectory
from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.coordination._quarantine import QuarantineTracker
from ragwortpaddled.coordination._releases import ReleaseTracker
from ragwortpaddled.coordination._version_reconciler import VersionReconciler
from ragwortpaddled.protocol import SIGNAL_PREFIX, PlatformClient, Signal, encode_value
from ragwortpaddled.state import Pool

OBSERVATION_INTERVAL_SECONDS = 1.0
RAISE_AFTER_OBSERVATIONS = 3
CLEAR_AFTER_OBSERVATIONS = 3
STORE_SILENCE_LIMIT_SECONDS = 10.0
RELEASE_LAG_LIMIT_SECONDS = 17.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Observation:
    """One observation of a faulty condition, with its effect and advice to the operator."""

    kind: str
    object_name: str
    evidence: str
    done: str
    advice: str


@dataclass(slots=True)
class _Condition:
    """Consecutive observations of one kind on one object."""

    consecutive_observations: int = 0
    consecutive_misses: int = 0
    since: float = 0.0
    raised: bool = False
    evidence: list[str] = field(default_factory=list)


class SignalDebouncer:
    """Raises a signal after consecutive observations, and clears it after consecutive misses."""

    def __init__(self) -> None:
        self._condition_by_key: dict[str, _Condition] = {}

    def update(self, observations: list[Observation], now: float) -> dict[str, Signal | None]:
        """Apply one round of observations; return the changed signals by key, None to clear one."""
        changes: dict[str, Signal | None] = {}
        observation_by_key = {
            f"{observation.kind}/{observation.object_name}": observation
            for observation in observations
        }
        for key, observation in observation_by_key.items():
            condition = self._condition_by_key.setdefault(key, _Condition(since=now))
            condition.consecutive_observations += 1
            condition.consecutive_misses = 0
            if observation.evidence not in condition.evidence:
                condition.evidence = [*condition.evidence, observation.evidence][-3:]
            if (
                condition.consecutive_observations >= RAISE_AFTER_OBSERVATIONS
                and not condition.raised
            ):
                condition.raised = True
                changes[key] = Signal(
                    observation.kind,
                    observation.object_name,
                    condition.evidence,
                    condition.since,
                    observation.done,
                    observation.advice,
                )
        for key in set(self._condition_by_key) - set(observation_by_key):
            condition = self._condition_by_key[key]
            condition.consecutive_misses += 1
            if not condition.raised or condition.consecutive_misses >= CLEAR_AFTER_OBSERVATIONS:
                if condition.raised:
                    changes[key] = None
                del self._condition_by_key[key]
        return changes


class SignalMonitor:
    """Observes the components of this daemon and publishes the resulting signals."""

    def __init__(
        self,
        fleet_view: FleetView,
        release_tracker: ReleaseTracker,
        endpoint_directory: EndpointDirectory,
        quarantine_tracker: QuarantineTracker,
        version_reconciler: VersionReconciler,
        platform: PlatformClient,
    ) -> None:
        self._fleet_view = fleet_view
        self._release_tracker = release_tracker
        self._endpoint_directory = endpoint_directory
        self._quarantine_tracker = quarantine_tracker
        self._version_reconciler = version_reconciler
        self._platform = platform
        self._debouncer = SignalDebouncer()

    async def run(self) -> None:
        """Observe at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(OBSERVATION_INTERVAL_SECONDS)
            self.observe_once()

    def observe_once(self) -> None:
        """Observe once, and publish or withdraw the signals that changed."""
        table = self._fleet_view.membership.table
        for key, signal in self._debouncer.update(list(self._observe()), time.time()).items():
            if signal is None:
                table.withdraw(SIGNAL_PREFIX + key)
                logger.info("signal %s cleared", key)
            else:
                table.publish(SIGNAL_PREFIX + key, encode_value(signal))
                logger.warning("signal %s: %s", key, "; ".join(signal.evidence))

    def signals(self) -> list[Signal]:
        """Return the signals raised in the data centre, the earliest of each kind and object."""
        signal_by_key: dict[str, Signal] = {}
        table = self._fleet_view.membership.table
        for name in self._fleet_view.membership.live_names():
            for key, value in table.state_by_name[name].live_entries(SIGNAL_PREFIX):
                signal = msgspec.msgpack.decode(value, type=Signal)
                earliest = signal_by_key.get(key)
                if earliest is None or signal.since < earliest.since:
                    signal_by_key[key] = signal
        return list(signal_by_key.values())

    def _observe(self) -> Iterator[Observation]:
        release = self._release_tracker.current
        if release is not None:
            for pool in release.objects.pool_by_name.values():
                yield from self._observe_pool(pool)
        yield from self._observe_store()
        yield from self._observe_releases()
        for quarantine in self._quarantine_tracker.active():
            yield Observation(
                "content_quarantined",
                quarantine.content,
                "; ".join(quarantine.evidence),
                "requests with this content are refused",
                "inspect the caller's request; to lift the quarantine, add a "
                f"[lift:{quarantine.content}] object",
            )
        for name in self._version_reconciler.endpoints_out_of_attempts():
            yield Observation(
                "order_not_followed",
                name,
                "it still reports another version after the last allowed order",
                "no more orders are sent to it",
                "inspect the engine, or replace its VM",
            )

    def _observe_pool(self, pool: Pool) -> Iterator[Observation]:
        now = time.monotonic()
        serving = [
            endpoint
            for endpoint in self._endpoint_directory.endpoints.in_pool(pool.name)
            if endpoint.serving(now)
        ]
        served = (
            bool(serving) if pool.serves == "service" else covers_all_layers(serving, pool.layers)
        )
        if not served:
            yield Observation(
                "pool_not_served",
                pool.name,
                f"its {len(serving)} serving endpoints do not cover what the pool serves",
                "its requests are refused without being run",
                "start endpoints of the pool; a model needs every layer covered",
            )

    def _observe_store(self) -> Iterator[Observation]:
        silence_seconds = time.monotonic() - self._platform.last_response_at
        if silence_seconds > STORE_SILENCE_LIMIT_SECONDS:
            yield Observation(
                "store_silent",
                "platform",
                "the platform has answered no call for more than 10 s",
                "at-most-once operations are refused; other requests are not affected",
                "check the platform's object API",
            )

    def _observe_releases(self) -> Iterator[Observation]:
        release_age_seconds = time.time() - self._release_tracker.adopted_at
        if self._release_tracker.current is None or release_age_seconds < RELEASE_LAG_LIMIT_SECONDS:
            return
        for name, number in self._fleet_view.release_by_daemon().items():
            if number < self._release_tracker.number:
                yield Observation(
                    "release_lags",
                    name,
                    f"its release is {number}, not {self._release_tracker.number}",
                    "its peers advertise the release in every gossip exchange",
                    "inspect the daemon's log, or replace its VM",
                )
