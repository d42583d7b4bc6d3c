"""The retry budget that all daemons share without coordination."""

import random

import pytest
from ragwortpaddled.state import PoolRetryBudget, RetryBudgetBounds

BOUNDS = RetryBudgetBounds(ratio=0.2, base_retries=200.0, window_seconds=10.0)


class TestPoolRetryBudget:
    @pytest.mark.parametrize(("daemons", "requests"), [(9, 30), (90, 10), (760, 2)])
    def test_all_daemons_together_use_over_half_of_the_budget_and_never_exceed_it(
        self, daemons: int, requests: int
    ) -> None:
        """Every request fails on every attempt."""
        retries = 0
        for number in range(daemons):
            retry_budget = PoolRetryBudget(BOUNDS, random.Random(number))
            retry_budget.daemon_count = daemons
            for _ in range(requests):
                retry_budget.record_request("model")
            for _ in range(200):
                retries += retry_budget.try_acquire("model")
        limit = BOUNDS.ratio * daemons * requests + BOUNDS.base_retries
        assert limit / 2 < retries <= limit

    def test_retries_are_allowed_again_after_the_window(self, monkeypatch) -> None:
        clock = [100.0]
        monkeypatch.setattr(
            "ragwortpaddled.state._pool_retry_budget.time.monotonic", lambda: clock[0]
        )
        retry_budget = PoolRetryBudget(BOUNDS, random.Random(1))
        while retry_budget.try_acquire("model"):
            pass
        clock[0] += BOUNDS.window_seconds + 0.1
        assert retry_budget.try_acquire("model")

    def test_pools_have_separate_budgets(self) -> None:
        retry_budget = PoolRetryBudget(BOUNDS, random.Random(1))
        while retry_budget.try_acquire("model"):
            pass
        assert retry_budget.try_acquire("desk")

    def test_retry_that_was_not_sent_is_available_again(self) -> None:
        retry_budget = PoolRetryBudget(BOUNDS, random.Random(1))
        while retry_budget.try_acquire("model"):
            pass
        assert not retry_budget.available("model")
        retry_budget.give_back("model")
        assert retry_budget.try_acquire("model")
        assert not retry_budget.available("model")
