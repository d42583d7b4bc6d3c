"""Quarantines what crashes endpoints: requests with the same content or the same prompt part.

Gossip carries the crash records, so that every daemon finds the same causes. Records that explain a
quarantine are also kept in the store, for daemons that start when no other one is left.
"""

import asyncio
import hashlib
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._reach_monitor import ReachMonitor
from ragwortpaddled.errors import ObjectsError, PlatformError, RefusedError, VersionConflictError
from ragwortpaddled.protocol import (
    ABSENT_VERSION,
    CrashReport,
    EndpointEntry,
    PlatformClient,
    Quantity,
    decode_json,
    era_of,
)
from ragwortpaddled.state import (
    RECORD_TTL_SECONDS,
    CrashCause,
    CrashRecords,
    RequestFingerprint,
)

QUARANTINES_PREFIX = "quarantines/"
PURPOSE = "quarantines"
SYNC_INTERVAL_SECONDS = 0.25
STORE_RETRY_SECONDS = 1.0
# After a restore of the store, a daemon that reported the last crash has so long to write a lost
# quarantine before the others do, one after the other.
REPORTER_GRACE_SECONDS = 1.0
SUBSTITUTE_SPREAD_SECONDS = 5.0
EVIDENCE_POLL_SECONDS = 0.05
# Daemons end a quarantine one after the other, so that the first request to crash an endpoint again
# is known to the others before they let one through.
RELEASE_SPREAD_SECONDS = 10.0

logger = logging.getLogger(__name__)


class _StoredQuarantine(msgspec.Struct, frozen=True):
    """The crash records behind a quarantine; ``saved_at`` is in seconds since the epoch."""

    saved_at: Quantity
    crashes: list[CrashReport]

    def current_reports(self) -> list[CrashReport]:
        """Return the records with their age at present, without the expired ones."""
        age_ms = max(0, int((time.time() - self.saved_at) * 1000))
        aged = [msgspec.structs.replace(r, age_ms=r.age_ms + age_ms) for r in self.crashes]
        return [report for report in aged if report.age_ms < RECORD_TTL_SECONDS * 1000]


@dataclass(frozen=True, slots=True)
class _SavedQuarantine:
    """The version of a quarantine in the store, and the crashes that it lists."""

    version: int
    crash_keys: tuple[str, ...]


class CrashTracker:
    """Records crashes of endpoints, and refuses requests that match a cause of them."""

    def __init__(
        self,
        reach_monitor: ReachMonitor,
        platform: PlatformClient,
        random_source: random.Random,
    ) -> None:
        self.records = CrashRecords(random_source.uniform(0.0, RELEASE_SPREAD_SECONDS))
        self._reach_monitor = reach_monitor
        self._platform = platform
        self._random = random_source
        self._change_listeners: list[Callable[[], None]] = []
        self._own_crash_keys: set[str] = set()
        self._active_by_name: dict[str, CrashCause] = {}
        self._saved_by_name: dict[str, _SavedQuarantine] = {}
        self._loaded_era = 0
        self._substitutes_at = float("inf")  # monotonic time from which this daemon writes too

    def add_change_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the records that peers should learn at once."""
        self._change_listeners.append(listener)

    async def admit(self, fingerprint: RequestFingerprint) -> None:
        """Refuse a quarantined request; let a likely cause wait until the evidence has settled.

        :raises RefusedError: the request matches a cause of crashes
        """
        while (seconds := self.records.unsettled_seconds(fingerprint)) > 0:
            await asyncio.sleep(min(seconds, EVIDENCE_POLL_SECONDS))
        self.refuse_if_quarantined(fingerprint)

    def suspects(self, fingerprint: RequestFingerprint) -> bool:
        """Return whether a request is quarantined, or must wait for evidence."""
        return (
            self.records.unsettled_seconds(fingerprint) > 0
            or self.records.find_cause(fingerprint) is not None
        )

    def refuse_if_quarantined(self, fingerprint: RequestFingerprint) -> None:
        """Refuse a request that matches a cause of crashes.

        :raises RefusedError: the request is quarantined
        """
        cause = self.records.find_cause(fingerprint)
        if cause is None:
            return
        # Callers that were told the same moment would all return when the quarantine ends.
        spread_seconds = self._random.uniform(0.0, RELEASE_SPREAD_SECONDS)
        raise RefusedError(
            503,
            f"requests of this kind crashed {len(cause.crash_keys)} endpoints",
            cause.until - time.monotonic() + spread_seconds,
            quarantined=cause.trait,
            companions=sorted(cause.companions),
        )

    async def record_lost_response(
        self, endpoint: EndpointEntry, fingerprint: RequestFingerprint
    ) -> bool:
        """Record a response that was lost before it began; return whether the endpoint crashed."""
        key = _crash_key(endpoint)
        known = self.records.has_crashed(key)
        accepts = None  # not tried
        if not known:
            accepts = await self._reach_monitor.accepts_connections(endpoint)
        fields = {
            "endpoint": endpoint.id,
            "incarnation": endpoint.incarnation,
            "known": known,
            "accepts_connections": accepts,
        }
        logger.info("lost response checked for a crash", extra={"fields": fields})
        if not known and accepts is not False:
            return False
        self._own_crash_keys.add(key)
        self.records.record_crash(key, fingerprint)
        telemetry.endpoint_crashes.add(1)
        self._notify_listeners()
        return True

    def record_run(
        self, endpoint: EndpointEntry, fingerprint: RequestFingerprint, sent_at: float
    ) -> None:
        """Record that an endpoint has begun to answer a request, which is therefore innocent."""
        if self.records.record_run(_crash_key(endpoint), fingerprint, sent_at):
            self._notify_listeners()

    def merge(self, reports: list[CrashReport]) -> None:
        """Merge the records of a peer."""
        if self.records.merge(reports):
            self._notify_listeners()

    async def run(self) -> None:
        """Load the stored quarantines, then keep the store and the log up to date."""
        while not await self._load():
            await asyncio.sleep(STORE_RETRY_SECONDS * self._random.uniform(0.5, 1.0))
        while True:
            await asyncio.sleep(SYNC_INTERVAL_SECONDS)
            self._update_active()
            if not (await self._reload_if_needed() and await self._save()):
                await asyncio.sleep(STORE_RETRY_SECONDS * self._random.uniform(0.5, 1.0))

    def _update_active(self) -> None:
        active_by_name = {_cause_name(cause): cause for cause in self.records.causes()}
        for name, cause in active_by_name.items():
            previous = self._active_by_name.get(name)
            if previous is None or previous.crash_keys != cause.crash_keys:
                _log_cause("quarantine started", cause)
        for name, cause in self._active_by_name.items():
            if name not in active_by_name:
                _log_cause("quarantine ended", cause)
        self._active_by_name = active_by_name
        self._own_crash_keys &= self.records.record_by_key.keys()

    async def _load(self) -> bool:
        """Merge the stored quarantines; return whether the store answered."""
        try:
            quarantine_by_name = await self._list()
        except PlatformError as error:
            _log_store_failure("load", error)
            return False
        for quarantine in quarantine_by_name.values():
            self.merge(quarantine.current_reports())
        return True

    async def _reload_if_needed(self) -> bool:
        """List the stored quarantines after a restore of the store; return whether it answered.

        The daemon knows at least as much as the restored records, so it doesn't merge them.
        """
        restored = self._loaded_era != self._platform.era
        substitutes = time.monotonic() >= self._substitutes_at and bool(self._active_by_name)
        if not restored and not substitutes:
            return True
        known_names = self._saved_by_name.keys() | self._active_by_name.keys()
        try:
            await self._list()
        except PlatformError as error:
            _log_store_failure("reload", error)
            return False
        for name in self._saved_by_name.keys() - known_names:
            del self._saved_by_name[name]
        if restored:
            spread_seconds = self._random.uniform(0.0, SUBSTITUTE_SPREAD_SECONDS)
            self._substitutes_at = time.monotonic() + REPORTER_GRACE_SECONDS + spread_seconds
            fields = {"era": self._loaded_era, "stored": len(self._saved_by_name)}
            logger.info("stored quarantines listed after a restore", extra={"fields": fields})
        return True

    async def _list(self) -> dict[str, _StoredQuarantine]:
        """List the stored quarantines by name, and note their versions."""
        stored_list = await self._platform.list_objects(QUARANTINES_PREFIX, PURPOSE)
        self._loaded_era = era_of(stored_list.revision)
        self._saved_by_name.clear()
        quarantine_by_name = {}
        for stored in stored_list.objects:
            try:
                quarantine = decode_json(stored.value, _StoredQuarantine)
            except ObjectsError as error:
                fields = {"key": stored.key, "reason": str(error)}
                logger.warning("malformed quarantine ignored", extra={"fields": fields})
                continue
            name = stored.key.removeprefix(QUARANTINES_PREFIX)
            keys = tuple(report.key for report in quarantine.crashes)
            self._saved_by_name[name] = _SavedQuarantine(stored.version, keys)
            quarantine_by_name[name] = quarantine
        return quarantine_by_name

    async def _save(self) -> bool:
        """Write new and delete ended quarantines; return whether the store took all of them.

        Only the daemons that reported the last crash write: usually the one that sent the request.
        After a restore, the other daemons write what these have not written again.
        """
        substitutes = time.monotonic() >= self._substitutes_at
        try:
            for name, cause in self._active_by_name.items():
                saved = self._saved_by_name.get(name)
                is_saved = saved is not None and set(saved.crash_keys) >= set(cause.crash_keys)
                if not is_saved and (substitutes or self._reported_last_crash(cause)):
                    await self._write(name, cause, saved.version if saved else ABSENT_VERSION)
            for name in self._saved_by_name.keys() - self._active_by_name.keys():
                await self._delete(name)
        except PlatformError as error:
            _log_store_failure("save", error)
            return False
        if substitutes:
            self._substitutes_at = float("inf")
        return True

    def _reported_last_crash(self, cause: CrashCause) -> bool:
        records = self.records.record_by_key
        keys = [key for key in cause.crash_keys if key in records]
        last_key = max(keys, key=lambda key: records[key].at, default="")
        return last_key in self._own_crash_keys

    async def _write(self, name: str, cause: CrashCause, expected: int) -> None:
        quarantine = _StoredQuarantine(time.time(), self.records.reports(cause.crash_keys))
        value = msgspec.json.encode(quarantine).decode()
        key = QUARANTINES_PREFIX + name
        try:
            version = await self._platform.put(key, value, expected, PURPOSE)
        except VersionConflictError as error:
            version = await self._platform.put(key, value, error.current, PURPOSE)
        self._saved_by_name[name] = _SavedQuarantine(version, cause.crash_keys)

    async def _delete(self, name: str) -> None:
        try:
            key = QUARANTINES_PREFIX + name
            await self._platform.delete(key, self._saved_by_name[name].version, PURPOSE)
        except VersionConflictError:
            logger.info("ended quarantine was deleted or written by another daemon")
        del self._saved_by_name[name]

    def _notify_listeners(self) -> None:
        for listener in self._change_listeners:
            listener()


def _crash_key(endpoint: EndpointEntry) -> str:
    return f"{endpoint.id}/{endpoint.incarnation}"


def _cause_name(cause: CrashCause) -> str:
    return hashlib.blake2b(cause.trait.encode(), digest_size=8).hexdigest()


def _log_cause(event: str, cause: CrashCause) -> None:
    fields = {
        "trait": cause.trait,
        "companions": sorted(cause.companions),
        "crashes": sorted(cause.crash_keys),
        "remaining_ms": int((cause.until - time.monotonic()) * 1000),
    }
    logger.warning(event, extra={"fields": fields})


def _log_store_failure(step: str, error: PlatformError) -> None:
    logger.warning(
        "quarantines not stored, retrying", extra={"fields": {"step": step, "reason": str(error)}}
    )
