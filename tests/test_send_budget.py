"""The retry budget that all daemons share without coordination."""

import random

import pytest
from ragwortpaddled.state import BudgetBounds, SendBudget

BOUNDS = BudgetBounds(ratio=0.2, base_retries=200.0, window_seconds=10.0)


class TestSendBudget:
    @pytest.mark.parametrize(("daemons", "requests"), [(9, 30), (90, 10), (760, 2)])
    def test_all_daemons_together_use_over_half_of_the_budget_and_never_exceed_it(
        self, daemons: int, requests: int
    ) -> None:
        """Every request fails on every attempt."""
        retries = 0
        for number in range(daemons):
            budget = SendBudget(BOUNDS, random.Random(number))
            budget.daemons = daemons
            for _ in range(requests):
                budget.note_request("model")
            for _ in range(200):
                retries += budget.spend("model")
        limit = BOUNDS.ratio * daemons * requests + BOUNDS.base_retries
        assert limit / 2 < retries <= limit

    def test_retries_are_allowed_again_after_the_window(self, monkeypatch) -> None:
        clock = [100.0]
        monkeypatch.setattr("ragwortpaddled.state._send_budget.time.monotonic", lambda: clock[0])
        budget = SendBudget(BOUNDS, random.Random(1))
        while budget.spend("model"):
            pass
        clock[0] += BOUNDS.window_seconds + 0.1
        assert budget.spend("model")

    def test_pools_have_separate_budgets(self) -> None:
        budget = SendBudget(BOUNDS, random.Random(1))
        while budget.spend("model"):
            pass
        assert budget.spend("desk")
