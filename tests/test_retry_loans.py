"""Daemons that borrow retries from peers when their own share of the budget is used up."""

import asyncio
import random
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from ragwortpaddle_standins.relay_platform import EVENT_STREAM
from ragwortpaddled.coordination._retry_loans import MAX_LENDERS_ASKED, RetryLoans
from ragwortpaddled.errors import PeerRefusedError
from ragwortpaddled.protocol import BorrowRetries, RetriesLent, decode_message
from ragwortpaddled.relay import RelayDaemon
from ragwortpaddled.state import PoolRetryBudget, RetryBudgetBounds
from relay_fleet import RelayFleet, RelayTestBed

SMALL_BUDGET = "[retry]\nratio = 0\nslack = 24\n"  # 5.6 retries for each of three daemons
FLEET_RETRIES = 0.7 * 24  # the part of the budget that all daemons together may use
EVENT_INTERVAL_SECONDS = 0.05
CLOSED_ADDRESS = "127.0.0.1:1"


def budget_of(daemon: RelayDaemon) -> PoolRetryBudget:
    return daemon._peers._retry_budget


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[RelayFleet]:
    """Yield a fleet whose daemons agree on the number of daemons."""
    async with RelayFleet(RelayTestBed(tmp_path, SMALL_BUDGET)) as fleet:
        await fleet.testbed.wait(
            lambda: all(5.5 < budget_of(d).remaining("model") < 5.7 for d in fleet.daemons),
            "equal shares of the budget",
        )
        yield fleet


def use_up_share(daemon: RelayDaemon, pool: str = "model") -> None:
    while budget_of(daemon).try_acquire(pool, begun=True):
        pass


async def read_torn_stream(fleet: RelayFleet, daemon: RelayDaemon, attempt: bytes) -> bytes:
    """Read a stream whose first engine resets it halfway."""
    testbed = fleet.testbed
    for engine in testbed.engines:
        engine.event_interval_seconds = EVENT_INTERVAL_SECONDS
    connection = await testbed.send(b"POST", b"/ask/1", attempt, daemon)
    await connection.read_head()
    body = await connection.read_body_part() or b""
    engine = next(e for e in testbed.engines if e.count_executions(attempt.decode()))
    engine.fault = "torn"
    while (data := await connection.read_body_part()) is not None:
        body += data
    engine.fault = ""
    return body


class TestShareUsedUp:
    async def test_stream_is_not_cut_for_want_of_a_retry_while_peers_have_theirs_unused(
        self, fleet: RelayFleet
    ) -> None:
        borrower, *lenders = fleet.daemons
        before = sum(budget_of(lender).remaining("model") for lender in lenders)
        use_up_share(borrower)
        assert await read_torn_stream(fleet, borrower, b"a1") == EVENT_STREAM
        assert sum(budget_of(lender).remaining("model") for lender in lenders) < before

    async def test_request_is_not_refused_while_peers_have_retries_unused(
        self, fleet: RelayFleet
    ) -> None:
        use_up_share(fleet.daemons[0], "desk")
        fleet.testbed.desks[0].fault = "error"
        for number in range(4):
            attempt = b"r%d" % number
            head, _ = await fleet.testbed.ask(b"GET", b"/look/1", attempt, fleet.daemons[0])
            assert head.status == 200

    async def test_daemon_in_need_uses_what_its_peers_leave_and_no_more(
        self, fleet: RelayFleet
    ) -> None:
        borrower, *lenders = fleet.daemons
        used = 0

        def use_all() -> int:
            nonlocal used
            while budget_of(borrower).try_acquire("model", begun=True):
                used += 1
            return used

        # Each share is rounded by less than one retry.
        await fleet.testbed.wait(lambda: use_all() >= FLEET_RETRIES - 3, "retries of all daemons")
        await fleet.testbed.wait(
            lambda: not any(budget_of(d).available("model", begun=True) for d in lenders),
            "end of the loans",
        )
        assert use_all() <= FLEET_RETRIES + 3


class TestPeersThatDoNotLend:
    async def test_peer_that_is_cut_off_does_not_keep_others_from_lending(
        self, fleet: RelayFleet
    ) -> None:
        borrower = fleet.daemons[0]
        borrower._peers._address_by_name["entry-2"] = CLOSED_ADDRESS
        use_up_share(borrower)
        assert await read_torn_stream(fleet, borrower, b"a1") == EVENT_STREAM

    async def test_request_is_refused_soon_if_all_peers_are_cut_off(
        self, fleet: RelayFleet
    ) -> None:
        borrower = fleet.daemons[0]
        for name in ("entry-2", "entry-3"):
            borrower._peers._address_by_name[name] = CLOSED_ADDRESS
        use_up_share(borrower)
        for engine in fleet.testbed.engines:
            engine.fault = "refusal"
        asking = fleet.testbed.ask(b"POST", b"/ask/1", b"a1", borrower, deadline=b"4000")
        async with asyncio.timeout(2.0):
            head, body = await asking
        assert (head.status, body) == (503, b"retry budget exhausted")

    async def test_older_peer_is_passed_over_after_it_refused_the_message(
        self, fleet: RelayFleet
    ) -> None:
        borrower, older, _ = fleet.daemons
        server = older._peers._server
        handle = server._handler
        asked = 0

        async def handle_as_older_version(body: bytes) -> bytes:
            nonlocal asked
            if isinstance(decode_message(body), BorrowRetries):
                asked += 1
                raise PeerRefusedError("malformed message: invalid value 'borrow_retries'")
            return await handle(body)

        server._handler = handle_as_older_version
        use_up_share(borrower)
        await fleet.testbed.wait(lambda: asked > 0, "request for a loan")
        assert await read_torn_stream(fleet, borrower, b"a1") == EVENT_STREAM
        assert await read_torn_stream(fleet, borrower, b"a2") == EVENT_STREAM
        assert asked == 1


class TestDaemonsThatStartTogether:
    async def test_their_shares_stay_within_the_budget_until_they_know_each_other(
        self, tmp_path: Path
    ) -> None:
        """Each daemon had the whole budget for itself until it had the list of daemons."""
        testbed = RelayTestBed(tmp_path, SMALL_BUDGET)
        async with testbed:
            daemons = [testbed.daemon]
            for number in (2, 3, 4):
                daemons.append(await testbed.start_daemon(f"entry-{number}", testbed.store.address))
            try:
                shares: list[float] = []

                def all_know_the_others() -> bool:
                    shares.append(sum(budget_of(d).remaining("model") for d in daemons))
                    return all(budget_of(d).daemon_count == 4 for d in daemons)

                await testbed.wait(all_know_the_others, "lists of four daemons")
                assert max(shares) <= 24
            finally:
                for daemon in daemons[1:]:
                    await daemon.shutdown()


class GatedLinks:
    """Links on which each request waits until a test opens the gate."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.asked: list[BorrowRetries] = []

    async def request(
        self, address: str, message: BorrowRetries, timeout_seconds: float
    ) -> RetriesLent:
        self.asked.append(message)
        await self.gate.wait()
        return RetriesLent(message.count)


class TestRounds:
    async def test_many_requests_without_a_retry_start_one_round(self) -> None:
        retry_budget = PoolRetryBudget(RetryBudgetBounds(ratio=0.0), random.Random(1))
        links = GatedLinks()
        addresses = {f"entry-{number}": CLOSED_ADDRESS for number in range(90)}
        loans = RetryLoans(retry_budget, links, lambda: addresses, "own", random.Random(1))
        for _ in range(500):
            assert not retry_budget.try_acquire("model", begun=True)
        while not links.asked:
            await asyncio.sleep(0)
        for _ in range(500):
            retry_budget.report_shortage("model", begun=True)
            await asyncio.sleep(0)
        assert len(links.asked) == MAX_LENDERS_ASKED
        links.gate.set()
        while not retry_budget.try_acquire("model", begun=True):
            await asyncio.sleep(0)
        loans.close()

    async def test_peer_that_lends_more_than_was_asked_for_is_not_believed(self) -> None:
        retry_budget = PoolRetryBudget(RetryBudgetBounds(ratio=0.0), random.Random(1))

        class GenerousLinks(GatedLinks):
            async def request(
                self, address: str, message: BorrowRetries, timeout_seconds: float
            ) -> RetriesLent:
                return RetriesLent(1000)

        addresses = {"entry-1": CLOSED_ADDRESS}
        loans = RetryLoans(
            retry_budget, GenerousLinks(), lambda: addresses, "own", random.Random(1)
        )
        retry_budget.report_shortage("model", begun=False)
        while not retry_budget.borrowed("model", begun=False):
            await asyncio.sleep(0)
        assert retry_budget.borrowed("model", begun=False) == 1
        loans.close()
