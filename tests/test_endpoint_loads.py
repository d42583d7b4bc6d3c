"""Loads of endpoints: how long one that refuses requests is avoided."""

import time

import pytest
from ragwortpaddled.state import EndpointLoads, _endpoint_loads

REQUEST_INTERVAL_SECONDS = 0.025


class Clock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_endpoint_loads, "time", clock)
    return clock


def count_refusals(loads: EndpointLoads, clock: Clock, seconds: float) -> int:
    """Send requests at a fixed rate to an endpoint that refuses all, unless it is avoided."""
    refusals = 0
    end = clock.now + seconds
    while clock.now < end:
        if not loads.get("e").suspect(clock.now):
            refusals += 1
            loads.record_overload("e")
        clock.now += REQUEST_INTERVAL_SECONDS
    return refusals


class TestOverload:
    def test_leaving_engine_costs_few_attempts_during_an_outage_of_the_store(
        self, clock: Clock
    ) -> None:
        """An engine leaves for 8 s while its entry cannot be read, at 40 requests per second.

        At a fixed pause of 0.15 s, it refuses 47 of them at each daemon, and with three such
        engines the retry budget is soon exhausted.
        """
        assert count_refusals(EndpointLoads(), clock, seconds=8.0) <= 8

    def test_full_engine_is_tried_again_soon_after_it_accepted_a_request(
        self, clock: Clock
    ) -> None:
        loads = EndpointLoads()
        count_refusals(loads, clock, seconds=2.0)
        clock.now += 5.0
        loads.record_acceptance("e", sent_at=clock.now)
        loads.record_overload("e")
        clock.now += 0.2
        assert not loads.get("e").suspect(clock.now)

    def test_completed_earlier_requests_do_not_end_the_backoff(self, clock: Clock) -> None:
        """An engine that leaves completes its running requests while it refuses new ones."""
        loads = EndpointLoads()
        sent_at = clock.now - 2.0
        count_refusals(loads, clock, seconds=1.0)
        loads.record_overload("e")
        loads.record_success("e", sent_at=sent_at)
        assert loads.get("e").suspect(clock.now)
        loads.record_success("e", sent_at=clock.now + 0.1)
        assert not loads.get("e").suspect(clock.now)

    def test_requests_refused_together_count_once(self, clock: Clock) -> None:
        loads = EndpointLoads()
        for _ in range(10):
            loads.record_overload("e")
        clock.now += 0.2
        assert not loads.get("e").suspect(clock.now)

    def test_suspicion_of_a_lost_engine_is_not_shortened(self, clock: Clock) -> None:
        loads = EndpointLoads()
        loads.record_failure("e", suspected_lost=True)
        loads.record_overload("e")
        clock.now += 3.9
        assert loads.get("e").suspect(clock.now)


class TestSuspicions:
    def test_lost_engine_names_the_daemons_that_suspect_it(self) -> None:
        """An engine was planned around, and nothing said whose suspicions had led to that."""
        loads = EndpointLoads()
        loads.record_failure("engine-1", suspected_lost=True)
        loads.update_peer("entry-2", {}, ["engine-1", "engine-2"])
        assert loads.confirmed_lost_ids() == {"engine-1"}
        assert [s.daemon for s in loads.suspicions_of("engine-1")] == ["", "entry-2"]
        assert [s.daemon for s in loads.suspicions_of("engine-2")] == ["entry-2"]

    def test_suspicion_ages_from_the_first_report_of_it(self, clock: Clock) -> None:
        loads = EndpointLoads()
        loads.update_peer("entry-2", {}, ["engine-1"])
        clock.now += 1.5
        loads.update_peer("entry-2", {}, ["engine-1"])
        (suspicion,) = loads.suspicions_of("engine-1")
        assert (suspicion.age_seconds, suspicion.report_age_seconds) == (1.5, 0.0)
        loads.update_peer("entry-2", {}, [])
        assert not loads.suspicions_of("engine-1")


class TestSuspicionThatIsOver:
    """A later failure of another kind told peers again that the engine was lost."""

    @pytest.mark.parametrize("record", ["record_unreachable", "record_overload", "record_failure"])
    def test_is_not_told_again(self, monkeypatch: pytest.MonkeyPatch, record: str) -> None:
        now = [100.0]
        monkeypatch.setattr("ragwortpaddled.state._endpoint_loads.time.monotonic", lambda: now[0])
        loads = EndpointLoads()
        loads.record_lost("engine-1")
        assert loads.own_suspect_ids() == ["engine-1"]
        now[0] += 60.0
        getattr(loads, record)("engine-1")
        assert loads.own_suspect_ids() == []

    def test_backoff_of_a_full_endpoint_outlasts_the_loss_of_the_links(self) -> None:
        loads = EndpointLoads()
        loads.record_overload("engine-1")
        loads.forget_own_failures()
        assert loads.get("engine-1").suspect(time.monotonic())


class TestStalledEngine:
    """Reports that other engines wait for an engine: a moment of silence, or its end."""

    def test_stalls_of_a_silent_moment_are_not_told(self, clock: Clock) -> None:
        loads = EndpointLoads()
        for _ in range(5):
            loads.record_stalled("e")
            clock.now += 0.2
        assert loads.own_suspect_ids() == []
        assert loads.get("e").suspect(clock.now)

    def test_stalls_that_go_on_are_told(self, clock: Clock) -> None:
        loads = EndpointLoads()
        loads.record_stalled("e")
        clock.now += 2.0
        loads.record_stalled("e")
        assert loads.own_suspect_ids() == ["e"]

    def test_engine_that_ran_a_request_between_two_silent_moments_is_not_lost(
        self, clock: Clock
    ) -> None:
        loads = EndpointLoads()
        loads.record_stalled("e")
        clock.now += 1.2
        loads.record_acceptance("e", sent_at=clock.now)
        clock.now += 1.0
        loads.record_stalled("e")
        assert loads.own_suspect_ids() == []

    def test_answer_to_an_earlier_request_does_not_end_a_stall(self, clock: Clock) -> None:
        loads = EndpointLoads()
        sent_at = clock.now - 1.0
        loads.record_stalled("e")
        clock.now += 2.0
        loads.record_acceptance("e", sent_at=sent_at)
        loads.record_stalled("e")
        assert loads.own_suspect_ids() == ["e"]

    def test_silent_moments_far_apart_are_not_one_stall(self, clock: Clock) -> None:
        loads = EndpointLoads()
        loads.record_stalled("e")
        clock.now += 30.0
        loads.record_stalled("e")
        assert loads.own_suspect_ids() == []


class TestReachableEngine:
    def test_full_engine_is_tried_again_soon(self, clock: Clock) -> None:
        loads = EndpointLoads()
        loads.record_unreachable("e")
        loads.record_reachable("e", full=True)
        clock.now += 0.2
        assert not loads.get("e").suspect(clock.now)

    def test_stalled_engine_is_avoided_for_the_time_of_a_failure(self, clock: Clock) -> None:
        loads = EndpointLoads()
        loads.record_stalled("e")
        loads.record_reachable("e", full=False)
        clock.now += 0.9
        assert loads.get("e").suspect(clock.now)
        clock.now += 0.2
        assert not loads.get("e").suspect(clock.now)

    def test_loss_that_is_confirmed_is_not_shortened(self, clock: Clock) -> None:
        loads = EndpointLoads()
        loads.record_lost("e")
        loads.record_reachable("e", full=True)
        clock.now += 3.9
        assert loads.get("e").suspect(clock.now)
