"""The retry budget that all daemons share, and the loans between them."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from unittest import mock

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from ragwortpaddled.state import LOAN_SECONDS, PoolRetryBudget, RetryBudgetBounds

BOUNDS = RetryBudgetBounds(ratio=0.2, base_retries=200.0, window_seconds=10.0)
MAX_UTILIZATION = 0.7  # of the budget that the rule allows, by all daemons together


@dataclass
class Clock:
    """A monotonic clock that a test sets."""

    now: float = 100.0


@contextmanager
def simulated_clock() -> Iterator[Clock]:
    clock = Clock()
    target = "ragwortpaddled.state._pool_retry_budget.time.monotonic"
    with mock.patch(target, lambda: clock.now):
        yield clock


def create_budget(daemons: int = 1, seed: int = 1) -> PoolRetryBudget:
    retry_budget = PoolRetryBudget(BOUNDS, random.Random(seed))
    retry_budget.set_daemon_count(daemons)
    return retry_budget


def take_all(retry_budget: PoolRetryBudget, *, begun: bool, pool: str = "model") -> int:
    count = 0
    while retry_budget.try_acquire(pool, begun=begun):
        count += 1
    return count


class TestPoolRetryBudget:
    @pytest.mark.parametrize(("daemons", "requests"), [(9, 30), (90, 10), (760, 2)])
    def test_all_daemons_together_use_over_half_of_the_budget_and_never_exceed_it(
        self, daemons: int, requests: int
    ) -> None:
        """Every request fails on every attempt."""
        retries = 0
        for number in range(daemons):
            retry_budget = create_budget(daemons, number)
            for _ in range(requests):
                retry_budget.record_request("model")
            for _ in range(200):
                retries += retry_budget.try_acquire("model", begun=True) is not None
        limit = BOUNDS.ratio * daemons * requests + BOUNDS.base_retries
        assert limit / 2 < retries <= limit

    def test_retries_are_allowed_again_after_the_window(self) -> None:
        with simulated_clock() as clock:
            retry_budget = create_budget()
            take_all(retry_budget, begun=True)
            clock.now += BOUNDS.window_seconds + 0.1
            assert retry_budget.try_acquire("model", begun=True)

    def test_pools_have_separate_budgets(self) -> None:
        retry_budget = create_budget()
        take_all(retry_budget, begun=True)
        assert retry_budget.try_acquire("desk", begun=True)

    def test_retry_that_was_not_sent_is_available_again(self) -> None:
        retry_budget = create_budget()
        last = None
        while retry := retry_budget.try_acquire("model", begun=True):
            last = retry
        assert not retry_budget.available("model", begun=True)
        retry_budget.give_back(last)
        assert retry_budget.try_acquire("model", begun=True)
        assert not retry_budget.available("model", begun=True)

    def test_retry_that_was_not_sent_leaves_later_ones_counted_for_their_whole_window(self) -> None:
        """Returning an early retry removed a later one, whose window then ended too soon."""
        with simulated_clock() as clock:
            retry_budget = create_budget()
            early = retry_budget.try_acquire("model", begun=True)
            clock.now += 5
            before = retry_budget.remaining("model")
            retry_budget.try_acquire("model", begun=True)
            retry_budget.give_back(early)
            assert retry_budget.remaining("model") == before
            clock.now += 6
            assert retry_budget.remaining("model") == before


class TestBegunRequests:
    def test_other_requests_leave_them_a_part_of_the_share(self) -> None:
        """Requests that could have been refused used up what a stream required to go on."""
        retry_budget = create_budget()
        take_all(retry_budget, begun=False)
        assert not retry_budget.available("model", begun=False)
        assert take_all(retry_budget, begun=True) >= BOUNDS.base_retries * MAX_UTILIZATION / 5

    def test_loan_for_them_is_not_used_by_others(self) -> None:
        with simulated_clock() as clock:
            retry_budget = create_budget()
            take_all(retry_budget, begun=True)
            assert retry_budget.add_loan("model", 1, clock.now, begun=True)
            assert not retry_budget.try_acquire("model", begun=False)
            assert retry_budget.try_acquire("model", begun=True)


class TestNumberOfDaemons:
    def test_daemon_that_does_not_know_it_has_only_the_ratio_of_its_requests(self) -> None:
        """Each daemon of a fleet used the whole budget until it knew the others."""
        retry_budget = PoolRetryBudget(BOUNDS, random.Random(1))
        assert not retry_budget.available("model", begun=True)
        assert retry_budget.remaining("model") == 0.0
        for _ in range(100):
            retry_budget.record_request("model")
        assert take_all(retry_budget, begun=True) == 100 * BOUNDS.ratio * MAX_UTILIZATION

    def test_lower_number_raises_the_share_once_retries_of_those_that_left_are_past(self) -> None:
        """A store restored without the daemons' entries gave each daemon the whole budget."""
        with simulated_clock() as clock:
            retry_budget = create_budget(daemons=90)
            share = retry_budget.remaining("model")
            retry_budget.set_daemon_count(1)
            clock.now += BOUNDS.window_seconds + LOAN_SECONDS
            assert retry_budget.remaining("model") == share
            clock.now += 0.1
            assert retry_budget.remaining("model") == BOUNDS.base_retries * MAX_UTILIZATION

    def test_daemons_that_start_together_stay_within_the_budget(self) -> None:
        """The first to register saw only itself and took the whole budget, the next one half."""
        retries = 0
        for number in range(1, 91):
            retry_budget = PoolRetryBudget(BOUNDS, random.Random(number))
            retry_budget.set_daemon_count(number, settled=False)
            retries += take_all(retry_budget, begun=True)
        assert retries <= BOUNDS.base_retries

    def test_higher_number_takes_effect_at_once(self) -> None:
        retry_budget = create_budget(daemons=10)
        share = retry_budget.remaining("model")
        retry_budget.set_daemon_count(20)
        assert retry_budget.remaining("model") == share / 2


class TestLoans:
    def test_daemon_in_need_reaches_what_the_others_do_not_use(self) -> None:
        """A daemon of 90 ended requests at 2 retries while the others used none."""
        with simulated_clock() as clock:
            fleet = [create_budget(90, seed) for seed in range(90)]
            one, *others = fleet
            used = take_all(one, begun=False)
            for lender in others:
                if lent := lender.lend("model", 10, begun=False):
                    one.add_loan("model", lent, clock.now, begun=False)
                used += take_all(one, begun=False)
            for lender in others:
                if lent := lender.lend("model", 10, begun=True):
                    one.add_loan("model", lent, clock.now, begun=True)
            used += take_all(one, begun=True)
            # Each daemon rounds its share at a random threshold, by less than one retry.
            assert BOUNDS.base_retries / 2 < used <= BOUNDS.base_retries

    def test_lender_keeps_a_part_for_requests_that_have_begun(self) -> None:
        lender = create_budget()
        lender.lend("model", 1000, begun=False)
        assert not lender.available("model", begun=False)
        assert lender.available("model", begun=True)

    def test_retry_of_a_loan_is_given_back_to_the_loan(self) -> None:
        with simulated_clock() as clock:
            retry_budget = create_budget()
            take_all(retry_budget, begun=True)
            retry_budget.add_loan("model", 1, clock.now, begun=False)
            retry = retry_budget.try_acquire("model", begun=False)
            assert not retry_budget.available("model", begun=False)
            retry_budget.give_back(retry)
            assert retry_budget.available("model", begun=False)
            clock.now += LOAN_SECONDS
            assert not retry_budget.available("model", begun=False)

    def test_retry_given_back_after_the_end_of_its_loan_is_lost(self) -> None:
        with simulated_clock() as clock:
            retry_budget = create_budget()
            take_all(retry_budget, begun=True)
            retry_budget.add_loan("model", 1, clock.now, begun=False)
            retry = retry_budget.try_acquire("model", begun=False)
            clock.now += LOAN_SECONDS
            retry_budget.give_back(retry)
            assert not retry_budget.available("model", begun=True)

    def test_loan_counts_at_the_lender_until_no_window_contains_its_use(self) -> None:
        with simulated_clock() as clock:
            lender = create_budget()
            before = lender.remaining("model")
            assert lender.lend("model", 3, begun=False) == 3
            clock.now += LOAN_SECONDS + BOUNDS.window_seconds
            assert lender.remaining("model") == before - 3
            clock.now += 0.1
            assert lender.remaining("model") == before

    def test_loan_whose_reply_came_late_is_not_used(self) -> None:
        with simulated_clock() as clock:
            borrower = create_budget()
            asked_at = clock.now
            clock.now += LOAN_SECONDS
            assert not borrower.add_loan("model", 3, asked_at, begun=False)
            assert not borrower.borrowed("model", begun=True)

    def test_shortage_is_reported_before_the_last_retry_is_used(self) -> None:
        retry_budget = create_budget()
        shortages: list[tuple[str, bool]] = []
        retry_budget.add_shortage_listener(lambda pool, begun: shortages.append((pool, begun)))
        while not shortages:
            assert retry_budget.try_acquire("model", begun=False)
        assert shortages == [("model", False)]
        assert retry_budget.available("model", begun=False)


class SimulatedFleet:
    """Daemons that take, lend and borrow retries over exchanges that may be lost or delayed."""

    def __init__(self, clock: Clock, daemons: int, seed: int) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.daemons = daemons
        self.budgets = [create_budget(daemons, self.random.random()) for _ in range(daemons)]
        self.restarted_at: list[float] = []
        self.retried_at: list[float] = []
        self.requested_at: list[float] = []
        self.replies: list[Callable[[], None]] = []

    def request(self, number: int) -> None:
        for _ in range(20):
            self.budgets[number % len(self.budgets)].record_request("model")
            self.requested_at.append(self.clock.now)

    def take(self, number: int, *, begun: bool) -> None:
        budget = self.budgets[number % len(self.budgets)]
        while retry := budget.try_acquire("model", begun=begun):
            if self.random.random() < 0.1:
                budget.give_back(retry)
                continue
            self.retried_at.append(self.clock.now)

    def borrow(self, number: int, *, begun: bool, delay_seconds: float = 0.1) -> None:
        """Ask another daemon; its reply arrives whenever ``deliver`` is called, or never."""
        borrower = self.budgets[number % len(self.budgets)]
        lender = self.random.choice(self.budgets)
        asked_at = self.clock.now
        if lender is borrower:
            return
        self.clock.now += self.random.random() * delay_seconds  # on the way to the lender
        lent = lender.lend("model", self.random.randint(1, 16), begun=begun)
        if lent:
            self.replies.append(
                lambda: borrower.add_loan("model", lent, asked_at, begun=begun) and None
            )

    def deliver(self) -> None:
        replies, self.replies = self.replies, []
        for reply in replies:
            if self.random.random() < 0.8:
                reply()

    def restart(self, number: int) -> None:
        """Replace a daemon by a new incarnation, which knows nothing of what was used."""
        self.restarted_at.append(self.clock.now)
        count = max(budget.daemon_count or 1 for budget in self.budgets)
        index = number % len(self.budgets)
        self.budgets[index] = create_budget(count, self.random.random())

    def leave(self, number: int) -> None:
        """Remove a daemon; the others learn of it at once."""
        if len(self.budgets) <= 2:
            return
        del self.budgets[number % len(self.budgets)]
        for budget in self.budgets:
            budget.set_daemon_count(len(self.budgets))

    def check(self) -> None:
        """Check the retries of each window that ends with one.

        A daemon's retries follow the requests of the window before each of them, and a loan is
        used up to ``LOAN_SECONDS`` after the lender counted the requests for it.
        """
        for end in self.retried_at:
            start = end - BOUNDS.window_seconds
            retries = sum(start <= at <= end for at in self.retried_at)
            counted_from = start - BOUNDS.window_seconds - LOAN_SECONDS
            requests = sum(counted_from <= at <= end for at in self.requested_at)
            limit = BOUNDS.base_retries + BOUNDS.ratio * requests
            # Each restart adds one share at most, as without loans; what the former incarnation
            # lent is used within LOAN_SECONDS.
            restarts = sum(start - LOAN_SECONDS <= at <= end for at in self.restarted_at)
            share = (BOUNDS.base_retries / len(self.budgets) + BOUNDS.ratio * requests) + 1
            assert retries <= limit + restarts * share * MAX_UTILIZATION
            # Shares are rounded by less than one retry for each daemon.
            if not restarts:
                assert retries <= limit * MAX_UTILIZATION + self.daemons


STEPS = st.one_of(
    st.tuples(st.just("request"), st.integers(0, 11)),
    st.tuples(st.just("take"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("borrow"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("borrow all"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("deliver")),
    st.tuples(st.just("pass"), st.sampled_from([0.05, 0.5, 1.7, 8.1, 10.1])),
    st.tuples(st.just("restart"), st.integers(0, 11)),
    st.tuples(st.just("leave"), st.integers(0, 11)),
)


BORROW = ("borrow all", 0, True)
TAKE = ("take", 0, True)
BORROW_AND_TAKE = (BORROW, ("deliver",), TAKE)
TAKE_EVERYWHERE = tuple(("take", number, True) for number in range(10))
USED_LATE = (BORROW, ("deliver",), ("pass", 1.9), TAKE, ("pass", 8.2), *BORROW_AND_TAKE)
USED_AFTER_THE_DEBIT = (BORROW, ("deliver",), ("pass", 11.9), TAKE, ("pass", 0.2), *BORROW_AND_TAKE)
REPLY_LATE = (BORROW, ("pass", 11.9), ("deliver",), TAKE, ("pass", 0.2), *BORROW_AND_TAKE)
MANY_LEAVE = (*TAKE_EVERYWHERE, *(("leave", 9 - number) for number in range(8)), *TAKE_EVERYWHERE)


class TestBudgetOfTheFleet:
    @settings(max_examples=400, deadline=None, derandomize=True)
    @example(10, 1, list(USED_LATE))
    @example(10, 1, list(USED_AFTER_THE_DEBIT))
    @example(10, 1, list(REPLY_LATE))
    @example(10, 1, list(MANY_LEAVE))
    @given(st.integers(2, 12), st.integers(0, 1000), st.lists(STEPS, max_size=80))
    def test_no_window_exceeds_it_whatever_is_lost_delayed_or_restarted(
        self, daemons: int, seed: int, steps: list[tuple]
    ) -> None:
        with simulated_clock() as clock:
            fleet = SimulatedFleet(clock, daemons, seed)
            for name, *arguments in steps:
                match name:
                    case "request":
                        fleet.request(arguments[0])
                    case "take":
                        fleet.take(arguments[0], begun=arguments[1])
                    case "borrow":
                        fleet.borrow(arguments[0], begun=arguments[1])
                    case "borrow all":
                        for _ in range(40):
                            fleet.borrow(arguments[0], begun=arguments[1], delay_seconds=0.0)
                    case "deliver":
                        fleet.deliver()
                    case "pass":
                        clock.now += arguments[0]
                    case "restart":
                        fleet.restart(arguments[0])
                    case "leave":
                        fleet.leave(arguments[0])
            fleet.check()

    @pytest.mark.parametrize("seed", range(6))
    @pytest.mark.parametrize("interval", [0.05, 0.3])
    def test_no_window_exceeds_it_while_a_few_borrow_all_that_the_others_have(
        self, seed: int, interval: float
    ) -> None:
        with simulated_clock() as clock:
            fleet = SimulatedFleet(clock, 20, seed)
            while clock.now < 150.0:
                number = fleet.random.randrange(3)
                begun = fleet.random.random() < 0.5
                fleet.borrow(number, begun=begun)
                if fleet.random.random() < 0.3:
                    fleet.deliver()
                if fleet.random.random() < 0.3:
                    fleet.take(number, begun=begun)
                clock.now += interval * fleet.random.random()
            assert len(fleet.retried_at) > BOUNDS.base_retries / 2
            fleet.check()
