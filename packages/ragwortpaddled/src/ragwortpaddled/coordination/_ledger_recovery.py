"""Follows the era of the store, and has lost operation records written again after a restore.

No attempt may start until every live daemon has written again what it knows. Daemons that make no
call to the store learn of the restore from the others.
"""

import asyncio
import logging
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.protocol import (
    STORE_ERA_KEY,
    OperationRecord,
    PlatformClient,
    StoreEra,
    encode_value,
)
from ragwortpaddled.state import merge_records

POLL_INTERVAL_SECONDS = 0.25
RECENT_RECORD_SECONDS = 120.0  # copies of the store are some seconds old
MAX_RECENT_RECORDS = 10_000

logger = logging.getLogger(__name__)


class LedgerRecovery:
    """The operation records that this daemon keeps, and the era in which none is missing."""

    def __init__(self, fleet_view: FleetView, platform: PlatformClient) -> None:
        self._fleet_view = fleet_view
        self._platform = platform
        self._era_of_others: int | None = None
        self._recovered_era: int | None = None
        self._complete_era: int | None = None
        self._recent_by_key: OrderedDict[str, tuple[float, OperationRecord]] = OrderedDict()

    @property
    def era(self) -> int | None:
        """Return the latest era of the store known to this daemon, None before the first reply."""
        own_era = self._platform.era if self._platform.era_known else None
        return max((era for era in (own_era, self._era_of_others) if era is not None), default=None)

    def complete_era(self) -> int | None:
        """Return the store's era if no record from before it is missing, None if one may be."""
        era = self.era
        if era is None or era == self._complete_era:
            return era
        if self._recovered_era is None:
            self._set_recovered(era)  # a daemon that has just started keeps no records
        if self._recovered_era != era or not self._fleet_view.joined:
            return None
        if any(store_era.recovered < era for store_era in self._fleet_view.eras_of_others()):
            return None
        self._complete_era = era
        logger.info("operation records are complete in era %d of the store", era)
        return era

    def keep(self, record: OperationRecord) -> None:
        """Keep a committed record for a time, merged with the former one of its key."""
        _, known = self._recent_by_key.get(record.key, (0.0, None))
        self._recent_by_key[record.key] = (time.monotonic(), merge_records(known, record))
        self._recent_by_key.move_to_end(record.key)
        while len(self._recent_by_key) > MAX_RECENT_RECORDS:
            self._recent_by_key.popitem(last=False)

    async def run(
        self,
        finish_writes: Callable[[int], Awaitable[None]],
        write_again: Callable[[int, list[OperationRecord]], Awaitable[None]],
    ) -> None:
        """Call ``write_again`` with the era and the recent records after each restore.

        ``finish_writes`` waits for the writes that were sent before the restore was known.
        """
        while True:
            await self._follow_era(finish_writes, write_again)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _follow_era(
        self,
        finish_writes: Callable[[int], Awaitable[None]],
        write_again: Callable[[int, list[OperationRecord]], Awaitable[None]],
    ) -> None:
        others = list(self._fleet_view.eras_of_others())
        self._era_of_others = max((other.known for other in others), default=None)
        era = self.era
        if era is None or era == self._recovered_era:
            return
        if self._recovered_era is None:
            self._set_recovered(era)
            return
        # A daemon that does not know of the restore, or whose write is in flight, may overwrite
        # what is written again: revisions are given out a second time.
        await finish_writes(era)
        self._publish(StoreEra(era, self._recovered_era))
        if any(other.known < era for other in others):
            return
        records = self._recent_records()
        logger.warning("store restored, era %d: %d records", era, len(records))
        await write_again(era, records)
        self._set_recovered(era)

    def _set_recovered(self, era: int) -> None:
        self._recovered_era = era
        self._publish(StoreEra(era, era))

    def _publish(self, store_era: StoreEra) -> None:
        if self._fleet_view.membership.table.publish(STORE_ERA_KEY, encode_value(store_era)):
            self._fleet_view.gossip_now()

    def _recent_records(self) -> list[OperationRecord]:
        horizon = time.monotonic() - RECENT_RECORD_SECONDS
        return [record for at, record in self._recent_by_key.values() if at > horizon]
