"""A lease in the platform's object store, with a monotonically increasing fencing token.

Clocks of different daemons are never compared. The holder measures the lease from before it sent
the renewing write; a successor acquires it only after it has itself observed the lease unchanged
for its whole duration. So the lease always expires at its holder before another can acquire it.
Both measure on a clock that runs on while the VM is suspended, unlike ``time.monotonic``: a holder
that wakes up finds its lease expired.

A store that is restored from a copy has lost what was granted since. So a fencing token contains
the era of the store, and for one duration after a restore the lease counts as held by an unknown
holder.
"""

import logging
import time

import msgspec

from ragwortpaddled.errors import (
    ObjectsError,
    PlatformError,
    VersionConflictError,
    WriteOutcomeUnknownError,
)
from ragwortpaddled.protocol import (
    ABSENT_VERSION,
    Count,
    PlatformClient,
    Version,
    decode_json,
    era_of,
    make_version,
)

LEASE_DURATION_SECONDS = 3.0
SAFETY_MARGIN_SECONDS = 0.5  # the process may pause between checking the lease and acting
PURPOSE = "lease"

logger = logging.getLogger(__name__)


class LeaseValue(msgspec.Struct, frozen=True):
    """The stored lease; ``beat`` makes every renewal a change that other daemons can see."""

    holder: str
    fencing: Version
    beat: Count


def boot_time() -> float:
    """Return the seconds since the VM started, those while it was suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """One daemon's handle on a named lease."""

    def __init__(self, platform: PlatformClient, name: str, holder: str) -> None:
        self.fencing_token = 0
        self.highest_token = 0  # granted to any daemon, as far as known
        self.acquired_at = 0.0
        self._platform = platform
        self._key = f"leases/{name}"
        self._holder = holder
        self._valid_until = 0.0
        self._observed_version = -1
        self._observed_at = 0.0
        self._observed_era: int | None = None
        self._restored_at = float("-inf")
        self._renewal_count = 0
        self._last_write_confirmed = False

    def remaining_seconds(self) -> float:
        """Return the seconds for which this daemon certainly holds the lease, by its own clock."""
        return max(0.0, self._valid_until - SAFETY_MARGIN_SECONDS - boot_time())

    def observe_token(self, fencing_token: int) -> None:
        """Note a token that was granted; a higher one than the own ends the own lease."""
        self.highest_token = max(self.highest_token, fencing_token)
        if fencing_token > self.fencing_token:
            self.forfeit()

    def forfeit(self) -> None:
        """Stop acting under the lease, since a higher fencing token is in use."""
        self._valid_until = 0.0

    async def acquire_or_renew(self) -> bool:
        """Renew the lease, or acquire it if it has expired; return whether it is held."""
        try:
            return await self._acquire_or_renew()
        except PlatformError as error:
            logger.info(
                "lease not renewed or acquired",
                extra={"fields": {"key": self._key, "reason": str(error)}},
            )
            return self.remaining_seconds() > 0

    async def release(self) -> None:
        """Release the lease, so that a successor need not wait for its expiry."""
        if self.remaining_seconds() <= 0:
            return
        self._valid_until = 0.0
        value = LeaseValue("", self.fencing_token, 0)
        try:
            await self._write(value, self._observed_version)
        except PlatformError as error:
            logger.info("lease not released: %s", error)

    async def _acquire_or_renew(self) -> bool:
        sent_at = boot_time()
        current_era = era_of(self._observed_version) == self._platform.era
        if self.remaining_seconds() > 0 and self._last_write_confirmed and current_era:
            # The version returned by the last write is still current, so no read is needed.
            return await self._renew(self._observed_version, sent_at)
        value, version = await self._read()
        if (
            self.remaining_seconds() > 0
            and value.holder == self._holder
            and value.fencing == self.fencing_token
        ):
            if era_of(self.fencing_token) == self._platform.era:
                self._renewal_count = value.beat
                return await self._renew(version, sent_at)
            return await self._acquire(version, sent_at)
        if sent_at < self._free_from(value):
            return False
        return await self._acquire(version, sent_at)

    async def _read(self) -> tuple[LeaseValue, int]:
        """Return the stored lease and its version; note when the store or the lease changed."""
        stored = await self._platform.get(self._key, PURPOSE)
        if self._observed_era is not None and self._observed_era != self._platform.era:
            self._restored_at = boot_time()
        self._observed_era = self._platform.era
        if stored is None:
            return LeaseValue("", 0, 0), ABSENT_VERSION
        try:
            value = decode_json(stored.value, LeaseValue)
        except ObjectsError as error:
            # Without the stored fencing token, a new holder's token might not exceed earlier ones.
            raise PlatformError(f"{self._key} is malformed: {error}") from error
        if stored.version != self._observed_version:
            # Measured from after the read: the lease may have been renewed during it.
            self._observed_version, self._observed_at = stored.version, boot_time()
        self.observe_token(value.fencing)
        return value, stored.version

    def _free_from(self, value: LeaseValue) -> float:
        """Return the boot time from which no other daemon can hold the lease."""
        free_from = self._restored_at + LEASE_DURATION_SECONDS
        is_from_copy = era_of(value.fencing) < self._platform.era
        if value.holder or is_from_copy:
            free_from = max(free_from, self._observed_at + LEASE_DURATION_SECONDS)
        return free_from

    async def _renew(self, version: int, sent_at: float) -> bool:
        self._renewal_count += 1
        renewed = LeaseValue(self._holder, self.fencing_token, self._renewal_count)
        return await self._write_held(renewed, version, sent_at)

    async def _acquire(self, version: int, sent_at: float) -> bool:
        self._valid_until = 0.0
        self._renewal_count = 0
        highest = max(self.highest_token, make_version(self._platform.era, 0))
        acquired = LeaseValue(self._holder, highest + 1, 0)
        if not await self._write_held(acquired, version, sent_at):
            return False
        self.fencing_token = acquired.fencing
        self.observe_token(acquired.fencing)
        self.acquired_at = time.monotonic()
        return True

    async def _write_held(self, value: LeaseValue, version: int, sent_at: float) -> bool:
        self._last_write_confirmed = False
        try:
            self._observed_version = await self._write(value, version)
        except (VersionConflictError, WriteOutcomeUnknownError):
            # The next read of the lease shows whether the write took effect.
            if version != ABSENT_VERSION and era_of(version) != self._platform.era:
                # The write may have replaced a lease that was granted after the restore.
                self._valid_until = 0.0
            return self.remaining_seconds() > 0
        self._last_write_confirmed = True
        self._observed_at = sent_at
        self._valid_until = sent_at + LEASE_DURATION_SECONDS
        return True

    async def _write(self, value: LeaseValue, version: int) -> int:
        text = msgspec.json.encode(value).decode()
        return await self._platform.put(self._key, text, version, PURPOSE)
