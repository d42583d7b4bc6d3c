"""The budget of repeated sends over all daemons."""

from ragwortpaddled.state import BudgetBounds, SendBudget

BOUNDS = BudgetBounds(ratio=0.2, slack=200.0, window_seconds=10.0)


class TestSpend:
    def test_daemons_together_stay_inside_the_bound(self) -> None:
        """Nine daemons with 30 requests each, all of which fail again and again."""
        spent = 0
        for _ in range(9):
            budget = SendBudget(BOUNDS)
            budget.daemons = 9
            for _ in range(30):
                budget.note_request("model")
            while budget.spend("model"):
                spent += 1
        assert 0 < spent <= BOUNDS.ratio * 9 * 30 + BOUNDS.slack

    def test_window_slides(self, monkeypatch) -> None:
        clock = [100.0]
        monkeypatch.setattr("ragwortpaddled.state._send_budget.time.monotonic", lambda: clock[0])
        budget = SendBudget(BOUNDS)
        while budget.spend("model"):
            pass
        clock[0] += BOUNDS.window_seconds + 0.1
        assert budget.spend("model")

    def test_pools_do_not_share(self) -> None:
        budget = SendBudget(BOUNDS)
        while budget.spend("model"):
            pass
        assert budget.spend("desk")
