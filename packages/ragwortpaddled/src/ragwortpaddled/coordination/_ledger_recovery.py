"""Notices a restore of the store, and lets the lost operation records be written again.

Daemons that make no call to the store learn of the restore by gossip.
"""

import asyncio
import logging
import time
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from ragwortpaddled.coordination._membership import Membership
from ragwortpaddled.protocol import (
    STORE_ERA_KEY,
    Change,
    PlatformClient,
    StoreEra,
    encode_value,
)

POLL_INTERVAL_SECONDS = 0.25
# Daemons learn of a restore within a few gossip rounds and commit their recent changes again.
RECOVERY_SECONDS = 2.0
RECENT_CHANGE_SECONDS = 120.0  # copies of the store are some seconds old
MAX_RECENT_CHANGES = 10_000

logger = logging.getLogger(__name__)


class LedgerRecovery:
    """The changes that this daemon committed recently, and whether a restore is being handled."""

    def __init__(self, membership: Membership, platform: PlatformClient) -> None:
        self._membership = membership
        self._platform = platform
        self._known_era: int | None = None
        self._recovering_until = 0.0
        self._recent_by_key: OrderedDict[str, tuple[float, Change]] = OrderedDict()

    @property
    def in_progress(self) -> bool:
        """Return whether records that the store has lost may still be missing."""
        return time.monotonic() < self._recovering_until

    def record_committed(self, change: Change) -> None:
        """Keep a committed change; a completion replaces the intent of its attempt."""
        self._recent_by_key[change.key] = (time.monotonic(), change)
        self._recent_by_key.move_to_end(change.key)
        while len(self._recent_by_key) > MAX_RECENT_CHANGES:
            self._recent_by_key.popitem(last=False)

    async def run(self, recover: Callable[[list[Change]], None]) -> None:
        """Call ``recover`` with the recent changes after each restore, until cancelled."""
        while True:
            era = self._highest_era()
            if era is not None and era != self._known_era:
                restored = self._known_era is not None
                self._known_era = era
                self._membership.table.publish(STORE_ERA_KEY, encode_value(StoreEra(era)))
                if restored:
                    self._recovering_until = time.monotonic() + RECOVERY_SECONDS
                    changes = self._recent_changes()
                    logger.warning("store restored, era %d: %d changes", era, len(changes))
                    recover(changes)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _highest_era(self) -> int | None:
        eras = [self._platform.era] if self._platform.era_known else []
        for state in self._membership.table.state_by_name.values():
            value = state.value(STORE_ERA_KEY)
            if value:
                eras.append(msgspec.msgpack.decode(value, type=StoreEra).number)
        return max(eras, default=None)

    def _recent_changes(self) -> list[Change]:
        horizon = time.monotonic() - RECENT_CHANGE_SECONDS
        return [change for at, change in self._recent_by_key.values() if at > horizon]
