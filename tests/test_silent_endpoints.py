"""Endpoints that fall silent and go on: an attempt ends early only for a secured replacement."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from ragwortpaddle_standins.relay_platform import EVENT_STREAM
from ragwortpaddled.errors import ReplyLostError
from relay_fleet import RelayTestBed
from stream_helpers import (
    EVENT_INTERVAL_SECONDS,
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


@pytest.fixture
async def testbed(tmp_path: Path) -> AsyncIterator[RelayTestBed]:
    async with RelayTestBed(tmp_path) as testbed:
        yield testbed


@pytest.fixture
async def testbed_without_retries(tmp_path: Path) -> AsyncIterator[RelayTestBed]:
    async with RelayTestBed(tmp_path, NO_RETRIES) as testbed:
        yield testbed


class TestSilentEngine:
    async def test_stream_that_cannot_be_resumed_is_not_cut(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        connection = await start_stream(testbed, b"/once/1")
        first_engine(testbed).fall_silent()
        change_configuration(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 1

    async def test_stream_that_cannot_be_resumed_is_not_failed_before_its_first_event(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        for engine in testbed.engines:
            engine.fall_silent(2.2)
        change_configuration(testbed)
        assert (await testbed.ask(b"POST", b"/once/1"))[1] == EVENT_STREAM
        assert executions(testbed) == 1

    async def test_only_attempt_is_not_cut(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        await change_routes(testbed, maxAttempts=1)
        connection = await start_stream(testbed, b"/ask/1")
        first_engine(testbed).fall_silent()
        change_configuration(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 1

    async def test_last_attempt_is_not_cut(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        connection = await start_stream(testbed, b"/ask/1")
        silent = first_engine(testbed)
        silent.fall_silent(3.0)
        await testbed.wait(lambda: executions(testbed) == 2, "second attempt")
        change_configuration(testbed)
        next(
            e for e in testbed.engines if e.count_executions("a1") and e is not silent
        ).fall_silent()
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 2

    async def test_stream_is_not_cut_without_a_retry_left_in_the_budget(
        self, testbed_without_retries: RelayTestBed, change_configuration
    ) -> None:
        testbed = testbed_without_retries
        connection = await start_stream(testbed, b"/ask/1")
        first_engine(testbed).fall_silent()
        change_configuration(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 1

    async def test_stream_is_not_cut_while_all_other_paths_are_full(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        occupying = await occupy_one_of_two_paths(testbed)
        connection = await start_stream(testbed, b"/ask/1", SLOW_EVENT_INTERVAL_SECONDS)
        first_engine(testbed).fall_silent()
        change_configuration(testbed)
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 1
        occupying.close()

    async def test_stream_moves_to_a_path_that_becomes_free_during_the_silence(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        occupying = await occupy_one_of_two_paths(testbed)
        connection = await start_stream(testbed, b"/ask/1", SLOW_EVENT_INTERVAL_SECONDS)
        silent = first_engine(testbed)
        silent.fall_silent(6.0)
        change_configuration(testbed)
        await asyncio.sleep(1.5)
        occupying.close()
        for engine in testbed.engines:
            engine.event_interval_seconds = EVENT_INTERVAL_SECONDS
        assert await read_all(connection) == EVENT_STREAM
        assert executions(testbed) == 2


class TestReservations:
    async def test_retry_that_finds_no_capacity_is_not_consumed(
        self, testbed: RelayTestBed
    ) -> None:
        occupying = await occupy_one_of_two_paths(testbed)
        for engine in testbed.engines:
            engine.fault = "" if engine.count_executions("occupying") else "torn"
        with pytest.raises(ReplyLostError):
            await testbed.ask(b"POST", b"/ask/1", deadline=b"1500")
        assert executions(testbed) == 1
        assert not consumed_retries(testbed)
        occupying.close()

    async def test_kept_attempt_consumes_no_retry(self, testbed: RelayTestBed) -> None:
        occupying = await occupy_one_of_two_paths(testbed)
        connection = await start_stream(testbed, b"/ask/1", SLOW_EVENT_INTERVAL_SECONDS)
        first_engine(testbed).fall_silent()
        assert await read_all(connection) == EVENT_STREAM
        assert not consumed_retries(testbed)
        occupying.close()

    async def test_caller_that_leaves_during_the_silence_leaves_no_reservation(
        self, testbed: RelayTestBed
    ) -> None:
        occupying = await occupy_one_of_two_paths(testbed)
        connection = await start_stream(testbed, b"/ask/1", SLOW_EVENT_INTERVAL_SECONDS)
        first_engine(testbed).fall_silent(6.0)
        dispatcher = testbed.daemon._dispatcher
        await testbed.wait(lambda: dispatcher.waiting_count("model") == 1, "queued replacement")
        connection.close()
        occupying.close()
        loads = testbed.daemon._relay_directory.loads
        await testbed.wait(lambda: not loads.own_running_by_id(), "end of the reservations")
        assert not dispatcher.waiting_count("model")
        assert not consumed_retries(testbed)


class TestSlowSafeRequest:
    async def test_answer_is_not_replaced_without_a_retry_left_in_the_budget(
        self, testbed_without_retries: RelayTestBed, change_configuration
    ) -> None:
        testbed = testbed_without_retries
        for desk in testbed.desks:
            desk.fault = "pause"
        asking = asyncio.create_task(testbed.ask(b"GET", b"/look/1"))
        await testbed.wait(lambda: executions(testbed) == 1, "run")
        change_configuration(testbed)
        assert (await asking)[0].status == 200
        assert executions(testbed) == 1

    async def test_answer_is_not_replaced_while_the_other_endpoint_is_full(
        self, testbed: RelayTestBed, change_configuration
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "hang"
            desk.slots = 1
            desk.register()
        await asyncio.sleep(0.2)
        occupying = await testbed.send(b"POST", b"/book/1", b"occupying", deadline=b"9000")
        await testbed.wait(lambda: executions(testbed, "occupying") == 1, "occupied endpoint")
        for desk in testbed.desks:
            desk.fault = "pause"
        asking = asyncio.create_task(testbed.ask(b"GET", b"/look/1", deadline=b"1500"))
        await testbed.wait(lambda: executions(testbed) == 1, "run")
        change_configuration(testbed)
        assert (await asking)[0].status == 200
        assert executions(testbed) == 1
        occupying.close()


class TestEndpointError:
    async def test_is_returned_without_a_retry_left_in_the_budget(
        self, testbed_without_retries: RelayTestBed
    ) -> None:
        testbed = testbed_without_retries
        for desk in testbed.desks:
            desk.fault = "error"
        head, body = await testbed.ask(b"GET", b"/look/1")
        assert (head.status, body) == (500, b"failed")
        assert head.header(b"x-server-seal") is not None
        assert executions(testbed) == 1

    async def test_is_returned_while_the_other_endpoint_is_full(
        self, testbed: RelayTestBed
    ) -> None:
        for desk in testbed.desks:
            desk.fault = "hang"
            desk.slots = 1
            desk.register()
        await asyncio.sleep(0.2)
        occupying = await testbed.send(b"POST", b"/book/1", b"occupying", deadline=b"9000")
        await testbed.wait(lambda: executions(testbed, "occupying") == 1, "occupied endpoint")
        for desk in testbed.desks:
            desk.fault = "error"
        head, _ = await testbed.ask(b"GET", b"/look/1", deadline=b"1500")
        assert head.status == 500
        assert executions(testbed) == 1
        occupying.close()
