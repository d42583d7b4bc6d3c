"""When the operation records count as complete after a restore, without processes."""

import asyncio
import time
from typing import cast

import msgspec
import pytest
from ragwortpaddled.coordination import FleetView
from ragwortpaddled.coordination._ledger_recovery import LedgerRecovery
from ragwortpaddled.coordination._shard_writer import LedgerUnavailableError, ShardWriter
from ragwortpaddled.protocol import (
    STORE_ERA_KEY,
    ChangeStatus,
    FetchSummary,
    Intent,
    MemberSummary,
    OperationRecord,
    PlatformClient,
    StoreEra,
    Summary,
    encode_value,
)
from ragwortpaddled.state import record_after
from ragwortpaddled.transport import HttpClient
from test_fleet_view import make_fleet_view

RECORD = record_after(Intent("key", "attempt", "digest", 0.0, 1000.0))


class RecoveringDaemon:
    """One daemon that has joined, and another of which it has a summary."""

    def __init__(self, view: FleetView) -> None:
        self.view = view
        self.platform = PlatformClient(HttpClient(), "http://127.0.0.1:1", 1.0)
        self.recovery = LedgerRecovery(view, self.platform)
        self.written: list[tuple[int, list[OperationRecord]]] = []
        self.era_after_writing = 0
        self.writes_finished = asyncio.Event()
        self.writes_finished.set()
        view.joined = True
        self.platform.era_known = True

    def set_other(self, known: int, recovered: int) -> None:
        """Receive what the other daemon has published."""
        member = MemberSummary("entry-2", "127.0.0.1:2", 1, StoreEra(known, recovered))
        summary = encode_value(Summary([member], [], [], []))
        self.view.handle_summary(FetchSummary("dc-b", summary))

    async def write_again(self, era: int, records: list[OperationRecord]) -> None:
        """Note the records that are written again."""
        self.written.append((era, records))
        self.platform.era = max(self.platform.era, self.era_after_writing)

    async def finish_writes(self, era: int) -> None:
        """Wait for the writes in flight."""
        await self.writes_finished.wait()

    def published_era(self) -> StoreEra:
        """Return what this daemon has published."""
        value = self.view.membership.table.own.value(STORE_ERA_KEY)
        return msgspec.msgpack.decode(value, type=StoreEra)

    async def poll(self) -> None:
        """Run one round of the recovery."""
        running = asyncio.create_task(self.recovery.run(self.finish_writes, self.write_again))
        await asyncio.sleep(0.05)
        running.cancel()


@pytest.fixture
async def daemon() -> RecoveringDaemon:
    return RecoveringDaemon(await make_fleet_view())


class TestCompleteEra:
    async def test_reply_that_shows_a_restore_ends_it_at_once(
        self, daemon: RecoveringDaemon
    ) -> None:
        daemon.set_other(0, 0)
        assert daemon.recovery.complete_era() == 0
        daemon.platform.era = 1
        assert daemon.recovery.complete_era() is None

    async def test_waits_for_all_other_daemons(self, daemon: RecoveringDaemon) -> None:
        daemon.set_other(0, 0)
        assert daemon.recovery.complete_era() == 0
        daemon.recovery.keep(RECORD)
        daemon.platform.era = 1
        await daemon.poll()
        # The other daemon may still overwrite what is written now.
        assert daemon.written == []
        daemon.set_other(1, 0)
        await daemon.poll()
        assert daemon.written == [(1, [RECORD])]
        assert daemon.recovery.complete_era() is None
        daemon.set_other(1, 1)
        assert daemon.recovery.complete_era() == 1

    async def test_restore_is_not_acknowledged_while_a_write_is_in_flight(
        self, daemon: RecoveringDaemon
    ) -> None:
        """The write may overwrite records that other daemons have written again."""
        daemon.set_other(0, 0)
        assert daemon.recovery.complete_era() == 0
        daemon.writes_finished.clear()
        daemon.set_other(1, 0)
        await daemon.poll()
        assert daemon.published_era() == StoreEra(0, 0)
        daemon.writes_finished.set()
        await daemon.poll()
        assert daemon.published_era() == StoreEra(1, 1)

    async def test_restore_during_a_recovery_is_not_acknowledged_with_it(
        self, daemon: RecoveringDaemon
    ) -> None:
        """Writes that were sent before the second restore may still be in flight."""
        daemon.set_other(0, 0)
        assert daemon.recovery.complete_era() == 0
        daemon.era_after_writing = 2
        daemon.set_other(1, 0)
        await daemon.poll()
        assert daemon.platform.era == 2
        assert daemon.published_era() == StoreEra(1, 1)
        assert daemon.recovery.complete_era() is None

    async def test_started_daemon_waits_until_it_has_joined(self, daemon: RecoveringDaemon) -> None:
        daemon.view.joined = False
        assert daemon.recovery.complete_era() is None
        daemon.view.joined = True
        assert daemon.recovery.complete_era() == 0

    async def test_restore_is_learned_from_another_daemon(self, daemon: RecoveringDaemon) -> None:
        daemon.set_other(0, 0)
        assert daemon.recovery.complete_era() == 0
        daemon.set_other(1, 1)
        await daemon.poll()
        assert daemon.written == [(1, [])]
        assert daemon.recovery.complete_era() == 1


class HeldStore:
    """A store in which the first write stays in flight until it is released."""

    def __init__(self) -> None:
        self.era = 0
        self.released = asyncio.Event()

    async def get(self, key: str, purpose: str) -> None:
        """Return that the object is absent."""

    async def put(self, key: str, value: str, expected: int, purpose: str) -> int:
        """Write once released."""
        await self.released.wait()
        return 1


class TestWriteInFlight:
    async def test_write_is_waited_for_and_later_ones_need_the_new_era(self) -> None:
        store = HeldStore()
        writer = ShardWriter(0, cast(PlatformClient, store), lambda: True)
        intent = Intent("key", "attempt", "digest", 0.0, time.time() + 60)
        submitted = asyncio.create_task(writer.submit(intent))
        await asyncio.sleep(0.05)
        finishing = asyncio.create_task(writer.finish_write(1))
        await asyncio.sleep(0.05)
        assert not finishing.done()
        store.released.set()
        await finishing
        assert (await submitted).verdict is ChangeStatus.GRANTED
        with pytest.raises(LedgerUnavailableError, match="era 1 is known"):
            await writer.submit(msgspec.structs.replace(intent, key="other"))
        await writer.close()
