"""The budget of repeated sends over all daemons."""

import random

import pytest
from ragwortpaddled.state import BudgetBounds, SendBudget

BOUNDS = BudgetBounds(ratio=0.2, slack=200.0, window_seconds=10.0)


class TestSpend:
    @pytest.mark.parametrize(("daemons", "requests"), [(9, 30), (90, 10), (760, 2)])
    def test_daemons_together_use_most_and_stay_inside(self, daemons: int, requests: int) -> None:
        """All requests fail again and again."""
        spent = 0
        for number in range(daemons):
            budget = SendBudget(BOUNDS, random.Random(number))
            budget.daemons = daemons
            for _ in range(requests):
                budget.note_request("model")
            for _ in range(200):
                spent += budget.spend("model")
        bound = BOUNDS.ratio * daemons * requests + BOUNDS.slack
        assert bound / 2 < spent <= bound

    def test_window_slides(self, monkeypatch) -> None:
        clock = [100.0]
        monkeypatch.setattr("ragwortpaddled.state._send_budget.time.monotonic", lambda: clock[0])
        budget = SendBudget(BOUNDS, random.Random(1))
        while budget.spend("model"):
            pass
        clock[0] += BOUNDS.window_seconds + 0.1
        assert budget.spend("model")

    def test_pools_do_not_share(self) -> None:
        budget = SendBudget(BOUNDS, random.Random(1))
        while budget.spend("model"):
            pass
        assert budget.spend("desk")
