"""The test double that cuts a daemon off from endpoints."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest
from endpoint_cut import EndpointCut, Way, patch_connect
from ragwortpaddle_standins.relay_platform import Service, Store, caller_headers
from ragwortpaddled.errors import NotSentError, ReplyLostError
from ragwortpaddled.transport import Http1Connection, Http1Pool

HELD_SECONDS = 0.2


@dataclass
class Setup:
    """A service and a pool whose connections to it can be cut."""

    service: Service
    pool: Http1Pool
    cut: EndpointCut

    async def open(self) -> Http1Connection:
        return await self.pool.acquire(self.service.address, fresh=True)


@pytest.fixture
async def setup(monkeypatch) -> AsyncIterator[Setup]:
    patch_connect(monkeypatch)
    service = Service(Store(), "desk-1", "desk", "dc-a")
    await service.start()
    cut = EndpointCut(lambda: {service.address})
    pool = Http1Pool()
    cut.install_in_pool(pool)
    yield Setup(service, pool, cut)
    cut.heal()
    pool.close()
    service.stop()


async def send(connection: Http1Connection, attempt: bytes = b"a1") -> None:
    await connection.send(b"GET", b"/look/1", caller_headers(attempt), b"")


async def read_status(connection: Http1Connection) -> int:
    head = await connection.read_head()
    await connection.read_body()
    return head.status


class TestHang:
    async def test_request_arrives_when_the_cut_ends(self, setup: Setup) -> None:
        connection = await setup.open()
        setup.cut.start(Way.HANG)
        await send(connection)
        await asyncio.sleep(HELD_SECONDS)
        assert not setup.service.received_requests
        setup.cut.heal()
        assert await read_status(connection) == 200

    async def test_response_arrives_when_the_cut_ends(self, setup: Setup) -> None:
        connection = await setup.open()
        await send(connection)
        setup.cut.start(Way.HANG)
        reading = asyncio.create_task(read_status(connection))
        await asyncio.sleep(HELD_SECONDS)
        assert not reading.done()
        setup.cut.heal()
        assert await reading == 200

    async def test_request_of_a_sender_that_has_left_never_arrives(self, setup: Setup) -> None:
        connection = await setup.open()
        setup.cut.start(Way.HANG)
        await send(connection)
        connection.close()
        setup.cut.heal()
        await asyncio.sleep(HELD_SECONDS)
        assert not setup.service.received_requests

    async def test_silent_connection_is_given_up(self, setup: Setup) -> None:
        connection = await setup.open()
        setup.cut.start(Way.HANG)
        with pytest.raises(ReplyLostError):
            await connection.read_head()

    async def test_no_connection_is_established(self, setup: Setup) -> None:
        setup.cut.start(Way.HANG)
        with pytest.raises(NotSentError):
            await setup.open()
        assert setup.cut.unopened_count == 1


class TestReset:
    async def test_open_connection_is_reset_and_a_new_one_is_refused(self, setup: Setup) -> None:
        connection = await setup.open()
        setup.cut.start(Way.RESET)
        with pytest.raises(ReplyLostError):
            await connection.read_head()
        with pytest.raises(NotSentError):
            await setup.open()


class TestRefuse:
    async def test_open_connection_lives_on_and_a_new_one_is_refused(self, setup: Setup) -> None:
        connection = await setup.open()
        setup.cut.start(Way.REFUSE)
        await send(connection)
        assert await read_status(connection) == 200
        assert setup.cut.sent_attempt_ids == {"a1"}
        with pytest.raises(NotSentError):
            await setup.open()


class TestScope:
    async def test_other_addresses_and_other_pools_are_not_cut(self, setup: Setup) -> None:
        setup.cut.start(Way.REFUSE, {"127.0.0.1:1"})
        (await setup.open()).close()
        setup.cut.start(Way.REFUSE)
        connection = await Http1Pool().acquire(setup.service.address)
        await send(connection)
        assert await read_status(connection) == 200
        connection.close()
