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
