"""The share of an endpoint's request limit that a daemon uses, on a clock that the test sets."""

import random
from types import SimpleNamespace

import pytest
from ragwortpaddled.state import RequestLimits, _request_limits

ENDPOINT = "e1"
WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.02


class Clock:
    """A monotonic clock that advances only when told to."""

    def __init__(self) -> None:
        self.now = 1000.0


def allowed(limit: float) -> float:
    """Return the platform's bound for the requests of one window over all daemons."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def send_as_many_as_allowed(fleet: list[RequestLimits], clock: Clock, seconds: float) -> int:
    """Let every daemon send whenever it may; return the number of requests."""
    sent = 0
    deadline = clock.now + seconds
    while clock.now < deadline:
        for limits in fleet:
            if ENDPOINT not in limits.exhausted_ids():
                limits.record_request(ENDPOINT)
                sent += 1
        clock.now += STEP_SECONDS
    return sent


@pytest.fixture
def clock(monkeypatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_request_limits, "time", SimpleNamespace(monotonic=lambda: clock.now))
    return clock


def build_fleet(size: int) -> list[RequestLimits]:
    fleet = [RequestLimits(random.Random(number)) for number in range(size)]
    for limits in fleet:
        limits.daemon_count = size
    return fleet


class TestShares:
    @pytest.mark.parametrize("limit", [0.0, 0.5, 4.0, 40.0])
    @pytest.mark.parametrize("size", [1, 9, 200])
    def test_daemons_together_keep_the_limit(self, clock: Clock, size: int, limit: float) -> None:
        fleet = build_fleet(size)
        for limits in fleet:
            limits.record_answer(ENDPOINT, limit)
        for _ in range(3):
            assert send_as_many_as_allowed(fleet, clock, WINDOW_SECONDS) <= allowed(limit)

    @pytest.mark.parametrize("size", [9, 200])
    def test_daemons_without_work_save_up_no_burst(self, clock: Clock, size: int) -> None:
        fleet = build_fleet(size)
        for limits in fleet:
            limits.record_answer(ENDPOINT, 4.0)
        for _ in range(3000):
            clock.now += STEP_SECONDS
            for limits in fleet:
                limits.exhausted_ids()
        assert send_as_many_as_allowed(fleet, clock, WINDOW_SECONDS) <= allowed(4.0)

    def test_share_of_a_daemon_is_used(self, clock: Clock) -> None:
        fleet = build_fleet(4)
        for limits in fleet:
            limits.record_answer(ENDPOINT, 8.0)
        assert send_as_many_as_allowed(fleet, clock, 10.0) >= 0.8 * 80


class TestEndOfLimit:
    def test_answer_without_a_limit_ends_it(self, clock: Clock) -> None:
        limits = build_fleet(1)[0]
        limits.record_answer(ENDPOINT, 0.0)
        assert limits.exhausted_ids() == {ENDPOINT}
        limits.record_answer(ENDPOINT, None)
        assert not limits.exhausted_ids()

    def test_limit_of_an_endpoint_that_is_gone_is_removed(self, clock: Clock) -> None:
        limits = build_fleet(1)[0]
        limits.record_answer(ENDPOINT, 0.0)
        limits.remove_unlisted({"e2"})
        assert not limits.reports()


class TestPeers:
    def test_daemon_learns_limit_and_its_end_from_a_peer(self, clock: Clock) -> None:
        first, second = build_fleet(2)
        first.record_answer(ENDPOINT, 0.0)
        second.merge_peer(first.reports())
        assert second.exhausted_ids() == {ENDPOINT}
        clock.now += 1.0
        first.record_answer(ENDPOINT, None)
        second.merge_peer(first.reports())
        assert not second.exhausted_ids()

    def test_older_report_does_not_revive_a_limit(self, clock: Clock) -> None:
        first, second = build_fleet(2)
        first.record_answer(ENDPOINT, 0.0)
        clock.now += 1.0
        second.record_answer(ENDPOINT, 0.0)
        second.record_answer(ENDPOINT, None)
        second.merge_peer(first.reports())
        assert not second.exhausted_ids()
