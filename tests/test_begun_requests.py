"""Requests that have begun: they go on while an endpoint can take them and the rules allow it."""

import asyncio
import logging
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from endpoint_cut import Way, patch_connect
from ragwortpaddle_standins.relay_platform import EVENT_STREAM, Engine
from ragwortpaddled.errors import ReplyLostError
from ragwortpaddled.state import RequestFingerprint, RetryBudgetBounds
from relay_fleet import RelayTestBed
from stream_helpers import (
    NO_RETRIES,
    SLOW_EVENT_INTERVAL_SECONDS,
    change_routes,
    consumed_retries,
    executions,
    first_engine,
    occupy_one_of_two_paths,
    read_all,
    start_stream,
)

OBSTACLE_SECONDS = 1.0

connect_through_cuts = pytest.fixture(autouse=True)(patch_connect)


@pytest.fixture
async def testbed(tmp_path: Path) -> AsyncIterator[RelayTestBed]:
    async with RelayTestBed(tmp_path) as testbed:
        yield testbed


@pytest.fixture
async def testbed_without_retries(tmp_path: Path) -> AsyncIterator[RelayTestBed]:
    async with RelayTestBed(tmp_path, NO_RETRIES) as testbed:
        yield testbed


def allow_retries(testbed: RelayTestBed) -> None:
    testbed.daemon._peers._retry_budget.bounds = RetryBudgetBounds()


def first_engines(testbed: RelayTestBed) -> list[Engine]:
    """Return the engines that hold the first layers, at which each path begins."""
    return [engine for engine in testbed.engines if engine.layers and engine.layers[0] == 0]


def other_first_engine(testbed: RelayTestBed, engine: Engine) -> Engine:
    """Return the first engine of the other path."""
    return next(other for other in first_engines(testbed) if other is not engine)


def logged(caplog: pytest.LogCaptureFixture, message: str) -> list[dict]:
    """Return the fields of the lines with a message about the request of the test."""
    return [
        record.fields
        for record in caplog.records
        if record.getMessage() == message and record.request_id == "a1"
    ]


async def wait_until_deferred(testbed: RelayTestBed, caplog: pytest.LogCaptureFixture) -> None:
    await testbed.wait(lambda: bool(logged(caplog, "attempt deferred")), "deferred attempt")


@pytest.fixture(autouse=True)
def _log_level(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)


class TestResetStream:
    """The engine of a stream resets its connection, and another attempt is not possible at once."""

    async def test_goes_on_once_the_budget_allows_a_retry(
        self, testbed_without_retries: RelayTestBed, change_configuration, caplog
    ) -> None:
        testbed = testbed_without_retries
        connection = await start_stream(testbed, b"/ask/1")
        first_engine(testbed).fault = "torn"
        change_configuration(testbed)
        await wait_until_deferred(testbed, caplog)
        await asyncio.sleep(OBSTACLE_SECONDS)
        assert executions(testbed) == 1
        allow_retries(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 2
        (deferred,) = logged(caplog, "attempt deferred")
        assert deferred["obstacle"] == "retry budget exhausted"

    async def test_asks_for_one_loan_while_it_waits_for_the_budget(
        self, testbed_without_retries: RelayTestBed, caplog
    ) -> None:
        """Each of its polls asked for another one, and what it did not use was lost to others."""
        testbed = testbed_without_retries
        shortages: list[tuple[str, bool]] = []
        testbed.daemon._peers._retry_budget.add_shortage_listener(
            lambda pool, begun: shortages.append((pool, begun))
        )
        connection = await start_stream(testbed, b"/ask/1")
        first_engine(testbed).fault = "torn"
        await wait_until_deferred(testbed, caplog)
        await asyncio.sleep(OBSTACLE_SECONDS)
        assert shortages == [("model", True)]
        connection.close()

    async def test_goes_on_once_a_path_has_room(
        self, testbed: RelayTestBed, change_configuration, caplog
    ) -> None:
        occupying = await occupy_one_of_two_paths(testbed)
        connection = await start_stream(testbed, b"/ask/1", SLOW_EVENT_INTERVAL_SECONDS)
        first_engine(testbed).fault = "torn"
        change_configuration(testbed)
        await wait_until_deferred(testbed, caplog)
        await asyncio.sleep(OBSTACLE_SECONDS)
        assert executions(testbed) == 1
        occupying.close()
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 2

    @pytest.mark.parametrize("refusals", [1, 2, 3, 5])
    async def test_goes_on_after_refusals_of_its_next_attempts(
        self, testbed: RelayTestBed, change_configuration, refusals: int
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        reset = first_engine(testbed)
        refusing = other_first_engine(testbed, reset)
        reset.fault = "torn"
        refusing.refusals_left = refusals
        change_configuration(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert refusing.refusal_count == refusals
        assert executions(testbed) == 2
        assert consumed_retries(testbed) == refusals + 1

    async def test_is_cut_at_its_deadline_with_a_line_that_says_why(
        self, testbed_without_retries: RelayTestBed, change_configuration, caplog
    ) -> None:
        testbed = testbed_without_retries
        connection = await start_stream(testbed, b"/ask/1")
        reset = first_engine(testbed)
        reset.fault = "torn"
        change_configuration(testbed)
        with pytest.raises(ReplyLostError):
            await read_all(connection)
        assert executions(testbed) == 1
        (given_up,) = logged(caplog, "request given up")
        assert given_up["decided_by"] == "daemon"
        assert given_up["reason"] == "deadline exceeded"
        assert given_up["obstacle"] == "retry budget exhausted"
        assert given_up["response"] == "started"
        assert given_up["sends"] == given_up["possible_runs"] == 1
        assert given_up["remaining_ms"] <= 0
        assert given_up["excluded"] == [reset.id]

    async def test_is_not_sent_without_pauses_to_an_engine_that_refuses_it(
        self, testbed: RelayTestBed
    ) -> None:
        """The pauses of 0.025 s, doubled up to 1.6 s, allow nine refusals in the 4 s."""
        connection = await start_stream(testbed, b"/ask/1")
        reset = first_engine(testbed)
        refusing = other_first_engine(testbed, reset)
        reset.fault = "torn"
        refusing.refusals_left = 1000
        with pytest.raises(ReplyLostError):
            await read_all(connection)
        assert 1 < refusing.refusal_count <= 9
        assert executions(testbed) == 1

    async def test_goes_on_once_the_links_to_the_endpoints_are_back(
        self, testbed: RelayTestBed, change_configuration, caplog
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        cut = testbed.cut_by_name["entry-1"]
        cut.start(Way.RESET)
        change_configuration(testbed)
        await wait_until_deferred(testbed, caplog)
        await asyncio.sleep(OBSTACLE_SECONDS)
        cut.heal()
        assert await read_all(connection) == EVENT_STREAM

    async def test_is_cut_after_its_last_allowed_run(self, testbed: RelayTestBed, caplog) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        reset = first_engine(testbed)
        reset.fault = "torn"
        second = other_first_engine(testbed, reset)
        await testbed.wait(lambda: second.running == 1, "second attempt")
        second.stop()
        with pytest.raises(ReplyLostError):
            await read_all(connection)
        (given_up,) = logged(caplog, "request given up")
        assert given_up["obstacle"] == "last attempt"
        assert given_up["possible_runs"] == given_up["max_attempts"] == 2
        assert given_up["remaining_ms"] > 0

    @pytest.mark.parametrize("obstacle", ["budget", "room", "refusals"])
    async def test_is_not_sent_again_once_its_caller_has_left(
        self, tmp_path: Path, change_configuration, caplog, obstacle: str
    ) -> None:
        settings = NO_RETRIES if obstacle == "budget" else ""
        async with RelayTestBed(tmp_path, settings) as testbed:
            occupying = await occupy_one_of_two_paths(testbed) if obstacle == "room" else None
            connection = await start_stream(testbed, b"/ask/1", SLOW_EVENT_INTERVAL_SECONDS)
            reset = first_engine(testbed)
            refusing = other_first_engine(testbed, reset)
            if obstacle == "refusals":
                refusing.refusals_left = 1000
            reset.fault = "torn"
            change_configuration(testbed)
            if obstacle == "refusals":
                await testbed.wait(lambda: refusing.refusal_count > 1, "refusals")
            else:
                await wait_until_deferred(testbed, caplog)
            connection.close()
            await testbed.wait(lambda: bool(logged(caplog, "request given up")), "end")
            (given_up,) = logged(caplog, "request given up")
            assert given_up["decided_by"] == "caller"
            refusal_count = refusing.refusal_count
            allow_retries(testbed)
            refusing.refusals_left = 0
            if occupying is not None:
                occupying.close()
            await asyncio.sleep(OBSTACLE_SECONDS)
            assert executions(testbed) == 1
            assert refusing.refusal_count == refusal_count
            assert not testbed.daemon._dispatcher.waiting_count("model")
            assert not testbed.daemon._relay_directory.loads.own_running_by_id()


class TestStreamBeforeItsFirstEvent:
    """A stream may have run, but its response has not begun."""

    async def test_goes_on_after_refusals(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        heads = first_engines(testbed)
        for engine in heads:
            engine.fault = "unframed empty"
        asking = asyncio.create_task(testbed.ask(b"POST", b"/ask/1"))
        while not executions(testbed):
            await asyncio.sleep(0)
        for engine in heads:
            engine.fault = ""
            engine.refusals_left = 5
        change_configuration(testbed)
        head, body = await asking
        assert (head.status, body) == (200, EVENT_STREAM)
        assert executions(testbed) == 2

    async def test_is_not_sent_again_if_it_is_quarantined_meanwhile(
        self, testbed_without_retries: RelayTestBed, caplog
    ) -> None:
        testbed = testbed_without_retries
        for engine in testbed.engines:
            engine.fault = "unframed empty"
        asking = asyncio.create_task(testbed.ask(b"POST", b"/ask/1"))
        await wait_until_deferred(testbed, caplog)
        (sent,) = logged(caplog, "attempt sent")
        fingerprint = RequestFingerprint(sent["content"], frozenset(sent["prompt_parts"]))
        for number in range(3):
            testbed.daemon._crash_tracker.records.record_crash(f"engine-9/{number}", fingerprint)
        allow_retries(testbed)
        assert (await asking)[0].status == 502
        assert executions(testbed) == 1

    async def test_goes_on_once_the_budget_allows_a_retry(
        self, testbed_without_retries: RelayTestBed, change_configuration, caplog
    ) -> None:
        testbed = testbed_without_retries
        for engine in testbed.engines:
            engine.fault = "unframed empty"
        asking = asyncio.create_task(testbed.ask(b"POST", b"/ask/1"))
        await wait_until_deferred(testbed, caplog)
        for engine in testbed.engines:
            engine.fault = ""
        change_configuration(testbed)
        await asyncio.sleep(OBSTACLE_SECONDS)
        assert executions(testbed) == 1
        allow_retries(testbed)
        assert (await asking)[1] == EVENT_STREAM
        assert executions(testbed) == 2


async def wait_for_replacement(testbed: RelayTestBed, engine: Engine) -> None:
    loads = testbed.daemon._relay_directory.loads
    await testbed.wait(lambda: bool(loads.own_running_by_id().get(engine.id)), "replacement")


class TestSilentSecond:
    """A sound engine falls silent and goes on; the attempt beside it does not begin."""

    async def test_stream_goes_on_where_it_is_if_its_replacement_is_refused(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        refusing = other_first_engine(testbed, silent)
        refusing.refusals_left = 1000
        silent.fall_silent()
        change_configuration(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert refusing.refusal_count
        assert executions(testbed) == 1

    async def test_stream_goes_on_if_the_refusal_takes_the_last_retry_of_the_budget(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        refusing = other_first_engine(testbed, silent)
        refusing.refusals_left = 1000
        silent.fall_silent()
        change_configuration(testbed)
        await testbed.wait(lambda: refusing.refusal_count > 0, "refused replacement")
        testbed.daemon._peers._retry_budget.bounds = RetryBudgetBounds(0.0, 0.0)
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 1

    async def test_stream_moves_if_its_replacement_is_accepted_after_refusals(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        refusing = other_first_engine(testbed, silent)
        refusing.refusals_left = 2
        silent.fall_silent(6.0)
        change_configuration(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert refusing.refusal_count == 2
        assert executions(testbed) == 2
        assert consumed_retries(testbed) == 3

    async def test_stream_goes_on_where_it_is_if_its_replacement_is_silent_for_longer(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        other_first_engine(testbed, silent).fall_silent(6.0)
        silent.fall_silent()
        change_configuration(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 1
        loads = testbed.daemon._relay_directory.loads
        await testbed.wait(lambda: not loads.own_running_by_id(), "end of the reservations")

    @pytest.mark.parametrize("loop_turns", [0, 1, 2, 3])
    async def test_reservations_end_if_the_caller_leaves_at_the_deadline(
        self, testbed: RelayTestBed, loop_turns: int
    ) -> None:
        """The second cancellation ended the first one's wait, and both engines stayed reserved."""
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        other = other_first_engine(testbed, silent)
        other.fall_silent(6.0)
        silent.fall_silent(6.0)
        await wait_for_replacement(testbed, other)
        (request,) = testbed.daemon._relay._running
        (server,) = (c for c in testbed.daemon._server._task_by_connection if not c.idle)
        request._timeout.reschedule(asyncio.get_running_loop().time())
        for _ in range(loop_turns):
            await asyncio.sleep(0)
        if server._stream.on_disconnect is not None:
            server._stream.on_disconnect()
        connection.close()
        loads = testbed.daemon._relay_directory.loads
        await testbed.wait(lambda: not loads.own_running_by_id(), "end of the reservations")

    async def test_stream_goes_on_where_it_is_if_its_replacement_is_reset(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        other = other_first_engine(testbed, silent)
        other.fall_silent(6.0)
        silent.fall_silent()
        change_configuration(testbed)
        await wait_for_replacement(testbed, other)
        other.stop()
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 1

    async def test_stream_goes_on_where_it_is_if_its_replacement_fails(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        other_first_engine(testbed, silent).fault = "error"
        silent.fall_silent()
        change_configuration(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 2

    async def test_stream_moves_to_its_replacement_if_the_silent_engine_stops(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        other = other_first_engine(testbed, silent)
        silent.fall_silent(6.0)
        other.fall_silent(1.8)
        change_configuration(testbed)
        await wait_for_replacement(testbed, other)
        silent.stop()
        assert await read_all(connection) == EVENT_STREAM
        assert other.count_executions("a1") == 1

    async def test_cancelled_replacement_counts_as_a_run(self, testbed: RelayTestBed) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        other = other_first_engine(testbed, silent)
        other.fall_silent(1.6)
        silent.fall_silent()
        await wait_for_replacement(testbed, other)
        loads = testbed.daemon._relay_directory.loads
        await testbed.wait(lambda: not loads.own_running_by_id().get(other.id), "cancellation")
        silent.fall_silent()
        assert await read_all(connection) == EVENT_STREAM
        assert consumed_retries(testbed) == 1
        assert executions(testbed) == 1

    async def test_request_is_not_refused_while_its_replacement_may_run_it(
        self, testbed: RelayTestBed
    ) -> None:
        """Two attempts are refused, the third is refused late, and the fourth is under way."""
        heads = first_engines(testbed)
        for engine in heads:
            engine.refusals_left = 1
        asking = asyncio.create_task(testbed.ask(b"POST", b"/ask/1"))
        await testbed.wait(lambda: all(engine.refusal_count for engine in heads), "refusals")
        for engine in heads:
            engine.fall_silent(2.4)
        loads = testbed.daemon._relay_directory.loads
        await testbed.wait(lambda: bool(loads.own_running_by_id()), "third attempt")
        silent = next(engine for engine in heads if loads.own_running_by_id().get(engine.id))
        other = other_first_engine(testbed, silent)
        other.fall_silent(2.9)
        silent.refusals_left = 1
        await wait_for_replacement(testbed, other)
        head, body = await asking
        assert silent.refusal_count == 2
        assert (head.status, body) == (200, EVENT_STREAM)
        assert executions(testbed) == 1

    async def test_third_engine_is_tried_if_the_second_is_silent_too(
        self, testbed: RelayTestBed, caplog
    ) -> None:
        """Three attempts are allowed, so silence ends the wait for the second."""
        await change_routes(testbed, maxAttempts=3)
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        silent.fall_silent(6.0)
        other_first_engine(testbed, silent).fall_silent(6.0)
        await testbed.wait(lambda: len(logged(caplog, "attempt failed")) == 1, "given up attempt")
        connection.close()

    async def test_stream_goes_back_to_the_silent_engine_if_the_other_one_resets_it(
        self, testbed: RelayTestBed
    ) -> None:
        await change_routes(testbed, maxAttempts=3)
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        other = other_first_engine(testbed, silent)
        other.fault = "torn"
        silent.fall_silent()
        assert await read_all(connection) == EVENT_STREAM
        assert silent.count_executions("a1") == 2
        assert other.count_executions("a1") == 1

    @pytest.mark.parametrize("end", ["caller leaves", "deadline"])
    async def test_end_of_the_request_ends_both_attempts(
        self, testbed: RelayTestBed, end: str
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        other = other_first_engine(testbed, silent)
        silent.fall_silent(6.0)
        other.fall_silent(6.0)
        loads = testbed.daemon._relay_directory.loads
        await wait_for_replacement(testbed, other)
        if end == "caller leaves":
            connection.close()
        else:
            with pytest.raises(ReplyLostError):
                await read_all(connection)
        await testbed.wait(lambda: not loads.own_running_by_id(), "end of the reservations")


class TestSafeRequest:
    """One endpoint runs the request and loses its answer; the other one is full for a while."""

    async def test_goes_on_once_the_other_endpoint_has_room(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        testbed.desks[0].fault = "answer lost"
        testbed.desks[1].fault = "full"
        asking = asyncio.create_task(testbed.ask(b"GET", b"/look/1"))
        await testbed.wait(lambda: executions(testbed) == 1, "run")
        change_configuration(testbed)
        await asyncio.sleep(OBSTACLE_SECONDS)
        testbed.desks[1].fault = ""
        head, body = await asking
        assert (head.status, body) == (200, b"answer of desk-1")
        assert executions(testbed) == 2

    async def test_goes_on_once_the_budget_allows_a_retry(
        self, testbed_without_retries: RelayTestBed, change_configuration, caplog
    ) -> None:
        testbed = testbed_without_retries
        for desk in testbed.desks:
            desk.fault = "answer lost"
        asking = asyncio.create_task(testbed.ask(b"GET", b"/look/1"))
        await wait_until_deferred(testbed, caplog)
        for desk in testbed.desks:
            desk.fault = ""
        change_configuration(testbed)
        await asyncio.sleep(OBSTACLE_SECONDS)
        allow_retries(testbed)
        assert (await asking)[0].status == 200
        assert executions(testbed) == 2

    async def test_gets_the_slow_answer_if_its_replacement_hangs(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "pause"
        asking = asyncio.create_task(testbed.ask(b"GET", b"/look/1"))
        await testbed.wait(lambda: executions(testbed) == 1, "run")
        slow = next(desk for desk in testbed.desks if desk.received_requests)
        for desk in testbed.desks:
            desk.fault = "hang"
        change_configuration(testbed)
        head, body = await asking
        assert (head.status, body) == (200, b"answer of " + slow.id.encode())
        assert executions(testbed) == 2

    async def test_gets_504_at_its_deadline(
        self, testbed_without_retries: RelayTestBed, caplog
    ) -> None:
        testbed = testbed_without_retries
        for desk in testbed.desks:
            desk.fault = "answer lost"
        head, _ = await testbed.ask(b"GET", b"/look/1", deadline=b"700")
        assert head.status == 504
        assert executions(testbed) == 1
        (given_up,) = logged(caplog, "request given up")
        assert given_up["obstacle"] == "retry budget exhausted"
        assert given_up["response"] == "not started"


class TestUnsafeRequest:
    async def test_is_never_sent_again(
        self, testbed: RelayTestBed, change_configuration, caplog
    ) -> None:
        testbed.desks[0].fault = "answer lost"
        testbed.desks[1].fault = "full"
        change_configuration(testbed)
        head, _ = await testbed.ask(b"POST", b"/book/1")
        testbed.desks[1].fault = ""
        assert head.status == 502
        await asyncio.sleep(OBSTACLE_SECONDS)
        assert executions(testbed) == 1
        (given_up,) = logged(caplog, "request given up")
        assert given_up["obstacle"] == "route is not retryable"

    async def test_is_refused_if_no_endpoint_has_run_it(
        self, testbed: RelayTestBed, change_configuration, caplog
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "full"
        change_configuration(testbed)
        head, _ = await testbed.ask(b"POST", b"/book/1")
        assert head.status == 503
        assert not executions(testbed)
        assert not logged(caplog, "request given up")
