"""Keeps a copy of all objects below a prefix of the store: one list, then repeated watches.

Revisions here are versions, which include the era of the store: a list of a later era replaces
what is known from before the restore.
"""

import asyncio
import errno
import logging
import random
import time
from collections.abc import Callable

from ragwortpaddled.errors import HistoryLostError, PlatformError, ReplyTimeoutError
from ragwortpaddled.protocol import (
    ObjectChange,
    ObjectList,
    PlatformClient,
    StoredObject,
    era_of,
    revision_of,
)

WATCH_TIMEOUT_SECONDS = 20.0  # one billed call, however long; the platform's limit is 30 s
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0  # half of the time within which a configuration must take effect
MIN_OUTAGE_SECONDS = 1.0  # no entry expires in a shorter interruption
SILENCE_TIMEOUT_SECONDS = 3.0  # the socket times out if its peer is silent for so long
REMOVAL_GRACE_SECONDS = 2.5  # live endpoints register again about 2 s after the store recovers
# Peers request changes several times a second; one that did not for so long is partitioned.
RECENT_CHANGE_SECONDS = 10.0

logger = logging.getLogger(__name__)


class ObjectWatcher:
    """A copy of the objects below a prefix, updated from the store and from peers."""

    def __init__(
        self,
        platform: PlatformClient,
        prefix: str,
        on_change: Callable[[str, StoredObject | None], None],
        random_source: random.Random,
        *,
        watch_pause_seconds: float = 0.0,
    ) -> None:
        self.object_by_key: dict[str, StoredObject] = {}
        self.revision = 0
        self.era_listed_at = 0.0  # monotonic time of the first list of the store's present era
        self._first_revision_of_era = 0
        self.initial_list_done = asyncio.Event()
        self.watch_pause_seconds = watch_pause_seconds
        self._platform = platform
        self._prefix = prefix
        self._on_change = on_change
        self._random = random_source
        self._disconnected_at: float | None = None
        self._removal_grace_until = 0.0
        self._deferred_removal_by_key: dict[str, asyncio.TimerHandle] = {}
        self._recent_change_by_key: dict[str, tuple[float, ObjectChange]] = {}
        self._latest_peer_version = 0
        self._revision_before_removals = 0

    @property
    def connected(self) -> bool:
        """Return whether the last call to the store succeeded."""
        return self._disconnected_at is None

    def is_removal_deferred(self, key: str) -> bool:
        """Return whether an object's removal is deferred; it may only have expired in an outage."""
        return key in self._deferred_removal_by_key

    def version_of_last_change(self, key: str) -> int:
        """Return the version of the change that is being applied to an object."""
        return self._recent_change_by_key[key][1].version

    def may_be_from_copy(self, version: int) -> bool:
        """Return whether a version may have been in the copy from which the store was restored."""
        first_revision = self._first_revision_of_era
        # Peers may list the restored store before this daemon does.
        return version <= first_revision or era_of(version) > era_of(first_revision)

    @property
    def changes_wanted_after(self) -> int:
        """Return the revision after which peers may have changes that this daemon lacks."""
        if self._deferred_removal_by_key:
            # A peer that kept its connection to the store knows which removals are real.
            return self._revision_before_removals
        if self.connected:
            return self.revision
        # A removal may have the same version as the last change applied, so ask for it again.
        return max(self.revision, self._latest_peer_version) - 1

    def recent_changes(self, above: int) -> list[ObjectChange]:
        """Return the changes of the last ``RECENT_CHANGE_SECONDS`` after a revision."""
        horizon = time.monotonic() - RECENT_CHANGE_SECONDS
        for key, (changed_at, _) in list(self._recent_change_by_key.items()):
            if changed_at < horizon:
                del self._recent_change_by_key[key]
        return [
            change for _, change in self._recent_change_by_key.values() if change.version > above
        ]

    def merge_peer_changes(self, changes: list[ObjectChange]) -> None:
        """Apply changes that a peer saw, except those already known or outdated."""
        for change in changes:
            if era_of(change.version) < era_of(self.revision):
                continue  # the peer has not reached the store since it was restored
            self._latest_peer_version = max(self._latest_peer_version, change.version)
            if change.value is not None:
                if change.version > self.revision or self._is_listed(change.key):
                    self._update(StoredObject(change.key, change.version, change.value))
                continue
            current = self.object_by_key.get(change.key)
            if current is not None and current.version < change.version:
                self._remove_now(change.key, change.version)

    def _is_listed(self, key: str) -> bool:
        """Return whether an object is known and its removal is not deferred."""
        return key in self.object_by_key and key not in self._deferred_removal_by_key

    async def run(self) -> None:
        """List and watch the objects for the life of the daemon."""
        retry_seconds = MIN_RETRY_SECONDS
        list_needed = True
        while True:
            try:
                if list_needed:
                    self._apply_list(await self._platform.list_objects(self._prefix, "follow-list"))
                    list_needed = False
                # After a failure, an immediate answer shows whether the store has been restored.
                wait_seconds = WATCH_TIMEOUT_SECONDS if self.connected else 0.0
                changes = await self._platform.watch(
                    self._prefix, self.revision, wait_seconds, "follow-watch"
                )
                self._record_response()
                self._apply_changes(changes)
                retry_seconds = MIN_RETRY_SECONDS
                if changes.objects or changes.removed:
                    # Each call is billed, and entries change in bursts.
                    await asyncio.sleep(self.watch_pause_seconds)
            except HistoryLostError:
                logger.info(
                    "change history expired, listing objects again",
                    extra={"fields": {"prefix": self._prefix, "era": self._platform.era}},
                )
                list_needed = True
            except PlatformError as error:
                self._record_failure(error)
                await asyncio.sleep(retry_seconds * self._random.uniform(0.5, 1.0))
                retry_seconds = min(retry_seconds * 2, MAX_RETRY_SECONDS)

    def _apply_list(self, listing: ObjectList) -> None:
        self._record_response()
        previous_revision = self.revision
        self.revision = listing.revision
        if era_of(listing.revision) != era_of(previous_revision):
            now = time.monotonic()
            self._first_revision_of_era = listing.revision
            self.era_listed_at = now
            if previous_revision:
                # Endpoints write the entries again that the restored store has lost.
                self._removal_grace_until = now + REMOVAL_GRACE_SECONDS
        listed = {stored.key for stored in listing.objects}
        for stored in listing.objects:
            self._update(stored)
        for key in set(self.object_by_key) - listed:
            self._remove_or_defer(key, previous_revision)
        self.initial_list_done.set()

    def _apply_changes(self, changes: ObjectList) -> None:
        previous_revision = self.revision
        self.revision = max(self.revision, changes.revision)
        for stored in changes.objects:
            self._update(stored)
        for key in changes.removed:
            self._remove_or_defer(key, previous_revision)

    def _update(self, stored: StoredObject) -> None:
        last = self._recent_change_by_key.get(stored.key)
        if last is not None and last[1].value is None and last[1].version >= stored.version:
            return
        deferred = self._deferred_removal_by_key.pop(stored.key, None)
        if deferred is not None:
            deferred.cancel()
        current = self.object_by_key.get(stored.key)
        if current is not None and current.version >= stored.version:
            if current.value != stored.value:
                self._log_ignored(stored, current.version)
            return
        self.object_by_key[stored.key] = stored
        self._record_change(stored.key, stored.version, stored.value)
        self._on_change(stored.key, stored)

    def _log_ignored(self, stored: StoredObject, known_version: int) -> None:
        fields = {
            "key": stored.key,
            "revision": revision_of(stored.version),
            "era": era_of(stored.version),
            "known_revision": revision_of(known_version),
            "known_era": era_of(known_version),
        }
        logger.info("older version of an object ignored", extra={"fields": fields})

    def _remove_or_defer(self, key: str, previous_revision: int) -> None:
        """Remove an object, after a grace period if it may only have expired in an outage."""
        if key not in self.object_by_key or key in self._deferred_removal_by_key:
            return
        grace_seconds = self._removal_grace_until - time.monotonic()
        if grace_seconds <= 0:
            self._remove_now(key, self.revision)
            return
        if not self._deferred_removal_by_key:
            self._revision_before_removals = previous_revision
        loop = asyncio.get_running_loop()
        self._deferred_removal_by_key[key] = loop.call_later(
            grace_seconds, self._remove_deferred, key
        )

    def _remove_deferred(self, key: str) -> None:
        self._remove_now(key, self.revision)

    def _remove_now(self, key: str, version: int) -> None:
        deferred = self._deferred_removal_by_key.pop(key, None)
        if deferred is not None:
            deferred.cancel()
        if self.object_by_key.pop(key, None) is not None:
            self._record_change(key, version, None)
            self._on_change(key, None)

    def _record_change(self, key: str, version: int, value: str | None) -> None:
        self._recent_change_by_key[key] = time.monotonic(), ObjectChange(key, version, value)

    def _record_response(self) -> None:
        now = time.monotonic()
        if self._disconnected_at is None:
            return
        outage_seconds = now - self._disconnected_at
        self._disconnected_at = None
        if outage_seconds > MIN_OUTAGE_SECONDS:
            self._removal_grace_until = now + REMOVAL_GRACE_SECONDS
        fields = {
            "prefix": self._prefix,
            "lost_ms": int(outage_seconds * 1000),
            "era": self._platform.era,
        }
        logger.info("platform store available again", extra={"fields": fields})

    def _record_failure(self, error: PlatformError) -> None:
        if self._disconnected_at is not None:
            return
        self._disconnected_at = time.monotonic() - (
            SILENCE_TIMEOUT_SECONDS if _is_timeout(error) else 0.0
        )
        fields = {"prefix": self._prefix, "reason": str(error)}
        logger.warning("platform store unavailable", extra={"fields": fields})


def _is_timeout(error: BaseException | None) -> bool:
    """Return whether a call failed by a timeout, so that the outage began earlier."""
    while error is not None:
        if isinstance(error, TimeoutError | ReplyTimeoutError):
            return True
        if isinstance(error, OSError) and error.errno == errno.ETIMEDOUT:
            return True
        error = error.__cause__
    return False
