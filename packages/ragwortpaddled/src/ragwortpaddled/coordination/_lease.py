"""A lease in the platform's service, with a fencing number that only grows.

Clocks are never compared. The holder counts its lease from before the write that renewed it was
sent; a successor takes over only after it has itself seen the lease unchanged for its whole
duration. So the holder's own view always ends before anybody else's.
"""

import logging
import time

import msgspec

from ragwortpaddled.errors import (
    PlatformError,
    VersionConflictError,
    WriteOutcomeUnknownError,
)
from ragwortpaddled.protocol import Platform

DURATION_SECONDS = 3.0
MARGIN_SECONDS = 0.5  # a pause may strike between the last check of the clock and the order
PURPOSE = "lease"

logger = logging.getLogger(__name__)


class LeaseValue(msgspec.Struct, frozen=True):
    """The lease as it is stored; ``beat`` makes every renewal a change."""

    holder: str
    fencing: int
    beat: int


class Lease:
    """One named lease as one daemon sees it."""

    def __init__(self, platform: Platform, name: str, holder: str) -> None:
        self.fencing = 0
        self.held_since = 0.0
        self._platform = platform
        self._key = f"leases/{name}"
        self._holder = holder
        self._valid_until = 0.0
        self._seen_version = -1
        self._seen_at = 0.0
        self._beat = 0
        self._renewed = False

    def remaining(self) -> float:
        """Return the seconds for which the lease is surely held, by the own clock."""
        return max(0.0, self._valid_until - MARGIN_SECONDS - time.monotonic())

    async def keep(self) -> bool:
        """Renew the lease, or take it if its holder let it lapse; return whether it is held."""
        try:
            return await self._keep()
        except PlatformError as error:
            logger.info(
                "lease not kept", extra={"fields": {"key": self._key, "reason": str(error)}}
            )
            return self.remaining() > 0

    async def give_up(self) -> None:
        """Let the lease go, so that a successor need not wait."""
        if self.remaining() <= 0:
            return
        self._valid_until = 0.0
        value = LeaseValue("", self.fencing, 0)
        try:
            await self._write(value, self._seen_version)
        except PlatformError as error:
            logger.info("lease not given up: %s", error)

    async def _keep(self) -> bool:
        sent_at = time.monotonic()
        if self.remaining() > 0 and self._renewed:
            # The version that the own write left names the object without another read.
            self._beat += 1
            renewed = LeaseValue(self._holder, self.fencing, self._beat)
            return await self._hold(renewed, self._seen_version, sent_at)
        stored = await self._platform.get(self._key, PURPOSE)
        if stored is None:
            return await self._take(LeaseValue("", 0, 0), 0, sent_at)
        try:
            value = msgspec.json.decode(stored.value, type=LeaseValue)
        except msgspec.MsgspecError as error:
            # Without its fencing number no successor could be told from an earlier holder.
            raise PlatformError(f"{self._key} is malformed: {error}") from error
        if stored.version != self._seen_version:
            # Counted from after the read: the lease may have been renewed while it was under way.
            self._seen_version, self._seen_at = stored.version, time.monotonic()
        self._beat = value.beat
        own = value.holder == self._holder and value.fencing == self.fencing
        if own and self.remaining() > 0:
            self._beat += 1
            renewed = LeaseValue(self._holder, self.fencing, self._beat)
            return await self._hold(renewed, stored.version, sent_at)
        if value.holder and sent_at - self._seen_at < DURATION_SECONDS:
            return False
        return await self._take(value, stored.version, sent_at)

    async def _take(self, previous: LeaseValue, version: int, sent_at: float) -> bool:
        self._valid_until = 0.0
        self._beat = 0
        taken = LeaseValue(self._holder, previous.fencing + 1, 0)
        if not await self._hold(taken, version, sent_at):
            return False
        self.fencing = taken.fencing
        self.held_since = time.monotonic()
        return True

    async def _hold(self, value: LeaseValue, version: int, sent_at: float) -> bool:
        self._renewed = False
        try:
            self._seen_version = await self._write(value, version)
        except (VersionConflictError, WriteOutcomeUnknownError):
            # Whether the write took effect shows when the lease is read the next time.
            return self.remaining() > 0
        self._renewed = True
        self._seen_at = sent_at
        self._valid_until = sent_at + DURATION_SECONDS
        return True

    async def _write(self, value: LeaseValue, version: int) -> int:
        text = msgspec.json.encode(value).decode()
        return await self._platform.put(self._key, text, version, PURPOSE)
