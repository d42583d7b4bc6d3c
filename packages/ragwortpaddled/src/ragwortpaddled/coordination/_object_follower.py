"""Follows all objects below a prefix of the platform: one list, then watches."""

import asyncio
import errno
import logging
import random
import time
from collections.abc import Callable

from ragwortpaddled.errors import HistoryLostError, PlatformError, ReplyTimeoutError
from ragwortpaddled.protocol import ObjectChange, ObjectList, Platform, StoredObject

WATCH_SECONDS = 20.0  # a waiting watch is priced as one call; 30 s is the platform's limit
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 1.0  # half of the time within which a configuration must be in force
OUTAGE_SECONDS = 1.0  # shorter gaps let no entry lapse
SILENT_SECONDS = 3.0  # a connection is given up after so long without a sign of its peer
RETURN_GRACE_SECONDS = 2.5  # living entries are back about 2 s after the store
# Peers ask several times a second; one that could ask nobody for so long is not in touch.
RECENT_SECONDS = 10.0

logger = logging.getLogger(__name__)


class ObjectFollower:
    """The objects below a prefix, as fresh as the platform lets them be."""

    def __init__(
        self,
        platform: Platform,
        prefix: str,
        on_change: Callable[[str, StoredObject | None], None],
        random_source: random.Random,
        *,
        batch_seconds: float = 0.0,
    ) -> None:
        self.object_by_key: dict[str, StoredObject] = {}
        self.revision = 0
        self.listed = asyncio.Event()
        self.batch_seconds = batch_seconds
        self._platform = platform
        self._prefix = prefix
        self._on_change = on_change
        self._random = random_source
        self._lost_at: float | None = None
        self._grace_until = 0.0
        self._removal_by_key: dict[str, asyncio.TimerHandle] = {}
        self._recent_by_key: dict[str, tuple[float, ObjectChange]] = {}
        self._peer_version = 0
        self._revision_before_removals = 0

    @property
    def in_touch(self) -> bool:
        """Tell whether the last call was answered."""
        return self._lost_at is None

    def keeps_back_removal_of(self, key: str) -> bool:
        """Tell whether an object was removed, but may only have lapsed in an outage."""
        return key in self._removal_by_key

    @property
    def wants_changes_above(self) -> int:
        """Return the revision above which peers may know changes that this daemon lacks."""
        if self._removal_by_key:
            # A peer that never lost the store knows whether these only lapsed in an outage.
            return self._revision_before_removals
        if self.in_touch:
            return self.revision
        # A removal may share its version with the last change that was taken.
        return max(self.revision, self._peer_version) - 1

    def recent_changes(self, above: int) -> list[ObjectChange]:
        """Return the changes of the last seconds above a revision."""
        horizon = time.monotonic() - RECENT_SECONDS
        for key, (at, _) in list(self._recent_by_key.items()):
            if at < horizon:
                del self._recent_by_key[key]
        return [change for _, change in self._recent_by_key.values() if change.version > above]

    def take_peer_changes(self, changes: list[ObjectChange]) -> None:
        """Take in changes that a peer saw; those that are not news are ignored."""
        for change in changes:
            self._peer_version = max(self._peer_version, change.version)
            if change.value is not None:
                self._set(StoredObject(change.key, change.version, change.value))
                continue
            known = self.object_by_key.get(change.key)
            if known is not None and known.version < change.version:
                self._forget(change.key, change.version)

    async def run(self) -> None:
        """Follow the platform for the life of the daemon."""
        pause = RETRY_MIN_SECONDS
        must_list = True
        while True:
            try:
                if must_list:
                    self._take_list(await self._platform.list_objects(self._prefix, "follow-list"))
                    must_list = False
                changes = await self._platform.watch(
                    self._prefix, self.revision, WATCH_SECONDS, "follow-watch"
                )
                self._note_answer()
                self._take_changes(changes)
                pause = RETRY_MIN_SECONDS
                if changes.objects or changes.removed:
                    # Each call is priced, and entries change in flocks.
                    await asyncio.sleep(self.batch_seconds)
            except HistoryLostError:
                logger.info("history lost", extra={"fields": {"prefix": self._prefix}})
                must_list = True
            except PlatformError as error:
                self._note_loss(error)
                await asyncio.sleep(pause * self._random.uniform(0.5, 1.0))
                pause = min(pause * 2, RETRY_MAX_SECONDS)

    def _take_list(self, listing: ObjectList) -> None:
        self._note_answer()
        before = self.revision
        self.revision = listing.revision
        listed = {stored.key for stored in listing.objects}
        for stored in listing.objects:
            self._set(stored)
        for key in set(self.object_by_key) - listed:
            self._remove(key, before)
        self.listed.set()

    def _take_changes(self, changes: ObjectList) -> None:
        before = self.revision
        self.revision = max(self.revision, changes.revision)
        for stored in changes.objects:
            self._set(stored)
        for key in changes.removed:
            self._remove(key, before)

    def _set(self, stored: StoredObject) -> None:
        last = self._recent_by_key.get(stored.key)
        if last is not None and last[1].value is None and last[1].version >= stored.version:
            return
        pending = self._removal_by_key.pop(stored.key, None)
        if pending is not None:
            pending.cancel()
        known = self.object_by_key.get(stored.key)
        if known is not None and known.version >= stored.version:
            return
        self.object_by_key[stored.key] = stored
        self._note_change(stored.key, stored.version, stored.value)
        self._on_change(stored.key, stored)

    def _remove(self, key: str, before: int) -> None:
        """Remove an object, after a grace where its entry may only have lapsed in an outage."""
        if key not in self.object_by_key or key in self._removal_by_key:
            return
        grace = self._grace_until - time.monotonic()
        if grace <= 0:
            self._forget(key, self.revision)
            return
        if not self._removal_by_key:
            self._revision_before_removals = before
        loop = asyncio.get_running_loop()
        self._removal_by_key[key] = loop.call_later(grace, self._forget_lapsed, key)

    def _forget_lapsed(self, key: str) -> None:
        self._forget(key, self.revision)

    def _forget(self, key: str, version: int) -> None:
        pending = self._removal_by_key.pop(key, None)
        if pending is not None:
            pending.cancel()
        if self.object_by_key.pop(key, None) is not None:
            self._note_change(key, version, None)
            self._on_change(key, None)

    def _note_change(self, key: str, version: int, value: str | None) -> None:
        self._recent_by_key[key] = time.monotonic(), ObjectChange(key, version, value)

    def _note_answer(self) -> None:
        now = time.monotonic()
        if self._lost_at is None:
            return
        lost_seconds = now - self._lost_at
        self._lost_at = None
        if lost_seconds > OUTAGE_SECONDS:
            self._grace_until = now + RETURN_GRACE_SECONDS
        fields = {"prefix": self._prefix, "lost_ms": int(lost_seconds * 1000)}
        logger.info("platform regained", extra={"fields": fields})

    def _note_loss(self, error: PlatformError) -> None:
        if self._lost_at is not None:
            return
        self._lost_at = time.monotonic() - (SILENT_SECONDS if _was_silent(error) else 0.0)
        fields = {"prefix": self._prefix, "reason": str(error)}
        logger.warning("platform lost", extra={"fields": fields})


def _was_silent(error: BaseException | None) -> bool:
    """Tell whether a call ended because nothing came, so that an outage began before."""
    while error is not None:
        if isinstance(error, TimeoutError | ReplyTimeoutError):
            return True
        if isinstance(error, OSError) and error.errno == errno.ETIMEDOUT:
            return True
        error = error.__cause__
    return False
