"""Streams of relay daemons under test: sending, reading, and occupying capacity."""

import asyncio

from ragwortpaddle_standins.relay_platform import Engine, configuration
from ragwortpaddled.transport import Http1Connection
from relay_fleet import RelayTestBed

NO_RETRIES = "[retry]\nratio = 0\nslack = 0\n"
EVENT_INTERVAL_SECONDS = 0.05
SLOW_EVENT_INTERVAL_SECONDS = 0.2


async def change_routes(testbed: RelayTestBed, **fields: object) -> None:
    routes = [{**route, **fields} for route in configuration()["routes"]]
    testbed.store.put("config", "main", configuration(5, routes=routes))
    await asyncio.sleep(0.2)


async def read_all(connection: Http1Connection) -> bytes:
    body = b""
    while (data := await connection.read_body_part()) is not None:
        body += data
    return body


def first_engine(testbed: RelayTestBed, attempt_id: str = "a1") -> Engine:
    return next(engine for engine in testbed.engines if engine.count_executions(attempt_id))


def executions(testbed: RelayTestBed, attempt_id: str = "a1") -> int:
    return sum(e.count_executions(attempt_id) for e in (*testbed.engines, *testbed.desks))


async def start_stream(
    testbed: RelayTestBed, path: bytes, interval_seconds: float = EVENT_INTERVAL_SECONDS
) -> Http1Connection:
    for engine in testbed.engines:
        engine.event_interval_seconds = interval_seconds
    connection = await testbed.send(b"POST", path)
    assert (await connection.read_head()).status == 200
    return connection


async def occupy_one_of_two_paths(testbed: RelayTestBed) -> Http1Connection:
    """Start an endless stream on one path, and leave one slot on the other."""
    for engine in testbed.engines:
        engine.slots = 1
        engine.register()
    services = configuration()["services"]
    services[0]["engine"]["slots"] = 1
    testbed.store.put("config", "main", configuration(5, services=services))
    await asyncio.sleep(0.2)
    for engine in testbed.engines:
        engine.event_interval_seconds = SLOW_EVENT_INTERVAL_SECONDS
        engine.event_count = 10_000
    connection = await testbed.send(b"POST", b"/ask/2", b"occupying", deadline=b"20000")
    await connection.read_head()
    for engine in testbed.engines:
        engine.event_count = 8
    return connection


def consumed_retries(testbed: RelayTestBed) -> int:
    return len(testbed.daemon._peers._retry_budget._use("model").retries)
