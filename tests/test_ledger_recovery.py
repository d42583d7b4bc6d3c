"""When the operation records count as complete after a restore, without processes."""

import asyncio
from collections.abc import Callable

from ragwortpaddled.coordination import FleetView
from ragwortpaddled.coordination._ledger_recovery import LedgerRecovery
from ragwortpaddled.protocol import (
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

    async def poll(self) -> None:
        """Run one round of the recovery."""
        running = asyncio.create_task(self.recovery.run(self.write_again))
        await asyncio.sleep(0.05)
        running.cancel()


def run_with_daemon(test: Callable[[RecoveringDaemon], object]) -> None:
    async def run() -> None:
        result = test(RecoveringDaemon(await make_fleet_view()))
        if asyncio.iscoroutine(result):
            await result

    asyncio.run(run())


class TestCompleteEra:
    def test_reply_that_shows_a_restore_ends_it_at_once(self) -> None:
        def restore(daemon: RecoveringDaemon) -> None:
            daemon.set_other(0, 0)
            assert daemon.recovery.complete_era == 0
            daemon.platform.era = 1
            assert daemon.recovery.complete_era is None

        run_with_daemon(restore)

    def test_waits_for_all_other_daemons(self) -> None:
        async def restore(daemon: RecoveringDaemon) -> None:
            daemon.set_other(0, 0)
            assert daemon.recovery.complete_era == 0
            daemon.recovery.keep(RECORD)
            daemon.platform.era = 1
            await daemon.poll()
            # The other daemon may still overwrite what is written now.
            assert daemon.written == []
            daemon.set_other(1, 0)
            await daemon.poll()
            assert daemon.written == [(1, [RECORD])]
            assert daemon.recovery.complete_era is None
            daemon.set_other(1, 1)
            assert daemon.recovery.complete_era == 1

        run_with_daemon(restore)

    def test_started_daemon_waits_until_it_has_joined(self) -> None:
        def start(daemon: RecoveringDaemon) -> None:
            daemon.view.joined = False
            assert daemon.recovery.complete_era is None
            daemon.view.joined = True
            assert daemon.recovery.complete_era == 0

        run_with_daemon(start)

    def test_restore_is_learned_from_another_daemon(self) -> None:
        async def learn(daemon: RecoveringDaemon) -> None:
            daemon.set_other(0, 0)
            assert daemon.recovery.complete_era == 0
            daemon.set_other(1, 1)
            await daemon.poll()
            assert daemon.written == [(1, [])]
            assert daemon.recovery.complete_era == 1

        run_with_daemon(learn)
