"""Decisions of a planned stop, on times that the test sets."""

import pytest
from ragwortpaddled.state import DrainPlan, ResponseTimes

LATER = 1000.0  # a deadline of a request beyond each stop


class TestDrainPlan:
    @pytest.mark.parametrize("grace", [0.0, 0.5, 2.0, 4.0, 8.0, 60.0])
    @pytest.mark.parametrize("lag", [0.0, 0.3, 2.5, 100.0])
    def test_steps_are_in_order_and_within_the_grace_period(self, grace, lag) -> None:
        plan = DrainPlan.create(100.0, grace, lag)
        assert 100.0 <= plan.connections_until <= plan.requests_until <= plan.responses_until
        assert plan.responses_until + plan.releasing_seconds <= 100.0 + grace

    @pytest.mark.parametrize("grace", [2.0, 4.0, 5.0, 8.0, 60.0])
    def test_requests_in_flight_may_run_until_the_last_sixth(self, grace: float) -> None:
        """A request that is cut before 5/6 of the grace period counts as lost."""
        assert DrainPlan.create(0.0, grace, 2.5).requests_until >= grace * 5 / 6

    @pytest.mark.parametrize("grace", [0.5, 2.0, 4.0, 8.0, 60.0])
    def test_requests_in_flight_get_nearly_all_of_the_grace_period(self, grace: float) -> None:
        """Streams were cut although only the lease and the daemon's entry were left to give up."""
        assert DrainPlan.create(0.0, grace, 2.5).requests_until >= grace * 0.9

    def test_reason_names_the_grace_period_only_at_its_end(self) -> None:
        plan = DrainPlan.create(0.0, 8.0, 2.5)
        assert plan.abort_reason(2.6) == "the daemon has stopped"
        assert plan.abort_reason(plan.requests_until) == "end of the grace period"


class TestAdmission:
    PLAN = DrainPlan.create(0.0, 8.0, 2.5)

    @staticmethod
    def times(*seconds: float) -> ResponseTimes:
        response_times = ResponseTimes()
        for value in seconds:
            response_times.record("desk", value)
        return response_times

    def test_request_is_served_while_the_pool_responds_in_time(self) -> None:
        times = self.times(*[2.0] * 50)
        last_start = self.PLAN.requests_until - 2.0
        assert times.can_serve(self.PLAN, "desk", last_start - 0.1, LATER)
        assert not times.can_serve(self.PLAN, "desk", last_start + 0.1, LATER)

    def test_slow_minority_counts(self) -> None:
        times = self.times(*[0.1] * 95, *[5.0] * 5)
        assert not times.can_serve(self.PLAN, "desk", 2.3, LATER)

    def test_request_with_an_earlier_deadline_of_its_own_is_served(self) -> None:
        times = self.times(*[5.0] * 50)
        assert times.can_serve(self.PLAN, "desk", 3.0, self.PLAN.requests_until - 0.1)

    def test_unknown_pool_is_served_while_the_balancer_directs_connections_here(self) -> None:
        times = self.times(0.1)
        for pool in ("desk", "other"):
            assert times.can_serve(self.PLAN, pool, 2.4, LATER)
            assert not times.can_serve(self.PLAN, pool, 2.6, LATER)

    def test_nothing_is_served_after_the_requests_in_flight_were_ended(self) -> None:
        times = self.times(*[0.0] * 50)
        assert not times.can_serve(self.PLAN, "desk", self.PLAN.requests_until + 0.01, LATER)

    def test_old_responses_are_forgotten(self) -> None:
        times = self.times(*[5.0] * 50, *[0.1] * 600)
        assert times.high_seconds("desk") == 0.1

    def test_pools_are_bounded(self) -> None:
        times = ResponseTimes()
        for number in range(3000):
            times.record(f"pool-{number}", 1.0)
        assert len(times._seconds_by_pool) <= 1024
