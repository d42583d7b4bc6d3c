"""One engine of six sends answers whose body has no end; the daemon keeps them in memory."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from harness import (
    BROKEN,
    HELD,
    Attempt,
    Case,
    Client,
    Daemon,
    Engine,
    NotRunError,
    Replica,
    Store,
    configuration,
    model_service,
    route,
)

STREAMS_PER_SECOND = 28.6  # diagnose, quote and explain together, as on the sheet
LINK_BYTES_PER_SECOND = 120_000_000  # of all bytes without end; a link has 1,000 Mbit/s
CLIENT_GAP_SECONDS = 2.0  # after which a client abandons a stream, also before its first event
TICK_SECONDS = 0.02
ORDER_CLIENTS = 24
ORDER_PAUSE_SECONDS = 0.2
MEMORY_MB = 300  # memoryMb of a machine
SECONDS = 80.0


class TroubledEngine(Engine):
    """An engine whose answers can be turned into bytes without end."""

    async def send_without_end(self, writer: asyncio.StreamWriter) -> None:
        while True:
            size = int(LINK_BYTES_PER_SECOND / max(1, self.running) * TICK_SECONDS)
            writer.write(b"%x\r\n%s\r\n" % (size, b"x" * size))
            await writer.drain()
            await asyncio.sleep(TICK_SECONDS)


async def send_orders(client: Client, until: float) -> None:
    while time.monotonic() < until:
        await asyncio.sleep(random.uniform(0.5, 1.5) * ORDER_PAUSE_SECONDS)
        await client.send("POST", "/order-part/new", body=b'{"part":"resistor"}')
    client.close()


async def send_stream(daemon: Daemon, attempts: list[Attempt]) -> None:
    client = Client(daemon, attempts)
    await client.send(
        "POST",
        "/diagnose/new",
        body=b"the left pedal hums",
        deadline_ms=20_000,
        gap_seconds=CLIENT_GAP_SECONDS,
        headers={"X-Model": "m0", "X-Token-Counts": "760,150", "X-Length-Hint": "150"},
    )
    client.close()


async def send_streams(daemon: Daemon, attempts: list[Attempt], until: float) -> None:
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until:
            group.create_task(send_stream(daemon, attempts))
            await asyncio.sleep(random.expovariate(STREAMS_PER_SECOND))


async def watch_memory(case: Case, daemon: Daemon, killed: asyncio.Event) -> float:
    """Kill the daemon if it exceeds its memory, as the platform does; return the peak."""
    peak = 0.0
    logged_at = 0.0
    while not killed.is_set():
        megabytes = daemon.resident_mb()
        peak = max(peak, megabytes)
        if time.monotonic() - logged_at > 0.5:
            logged_at = time.monotonic()
            case.log(f"{daemon.name} holds {megabytes:.0f} MB")
        if megabytes > MEMORY_MB:
            case.log(f"{daemon.name} holds {megabytes:.0f} MB of {MEMORY_MB} and is killed")
            daemon.process.kill()
            killed.set()
        await asyncio.sleep(0.02)
    return peak


async def body(case: Case) -> int:
    store = Store(case.host())
    case.servers.append(store)
    await store.start()
    routes = [
        route("order-part", "unsafe", "parts-desk"),
        route(
            "diagnose",
            "streaming",
            "assistant",
            timeoutMs=20_000,
            targetLatencyMs=500,
            targetGapMs=200,
            resumable=True,
            sticky=True,
        ),
    ]
    services = [model_service("assistant"), {"name": "parts-desk", "maxConns": 110}]
    store.put("config", "main", configuration(routes, services))
    desks = [
        Replica(store, f"i-parts-{i}", "parts-desk", case.host(), work_seconds=0.12)
        for i in range(3)
    ]
    engines = [
        TroubledEngine(store, f"i-model-{i}", "assistant", case.host(), slots=96, queue=0)
        for i in range(6)
    ]
    for server in (*desks, *engines):
        case.servers.append(server)
        await server.start()
    daemon = Daemon("front-0", case.host(), store, case.folder)
    case.daemons = [daemon]
    await daemon.start()
    await daemon.wait_ready()
    deadline = time.monotonic() + 20.0
    while not all(engine.layers for engine in engines):
        if time.monotonic() > deadline:
            raise NotRunError("not every engine was ordered to hold layers")
        await asyncio.sleep(0.05)
    await asyncio.sleep(3.0)
    until = time.monotonic() + SECONDS
    killed = asyncio.Event()
    memory = asyncio.create_task(watch_memory(case, daemon, killed))
    traffic = [
        asyncio.create_task(send_orders(Client(daemon, case.attempts), until))
        for _ in range(ORDER_CLIENTS)
    ]
    traffic.append(asyncio.create_task(send_streams(daemon, case.attempts, until)))
    await asyncio.sleep(4.0)
    first_engines = [engine for engine in engines if engine.layers and engine.layers[0] == 0]
    troubled = first_engines[0]
    if case.trouble:
        troubled.endless = True
        case.log(f"{troubled.id} answers with bytes without end")
    killed_task = asyncio.create_task(killed.wait())
    await asyncio.wait([*traffic, killed_task], timeout=SECONDS, return_when="FIRST_COMPLETED")
    was_killed = killed.is_set()
    await asyncio.sleep(0.3)
    killed.set()
    peak = await memory
    for task in (*traffic, killed_task):
        task.cancel()
    await asyncio.gather(*traffic, killed_task, return_exceptions=True)
    case.log_attempts([*desks, *engines])
    return judge(case, desks, was_killed, peak)


def judge(case: Case, desks: list[Replica], was_killed: bool, peak: float) -> int:
    """Apply LOST: requests of kept connections, passed on to sound replicas, without an answer."""
    arrived = {attempt for desk in desks for _, attempt in desk.arrivals}
    lost = [
        a
        for a in case.attempts
        if a.path.startswith("/order-part/")
        and a.id in arrived
        and not a.status
        and a.end == "connection closed"
    ]
    for a in lost:
        case.log(f"lost: order {a.id} was passed on, and its connection closed without an answer")
    orders = sum(a.path.startswith("/order-part/") for a in case.attempts)
    case.verdict(
        f"{orders} orders and {len(case.attempts) - orders} streams; the daemon held up to "
        f"{peak:.0f} MB and was {'killed' if was_killed else 'not killed'}; {len(lost)} orders "
        "at sound replicas were lost"
    )
    return BROKEN if len(lost) > 3 else HELD


if __name__ == "__main__":
    Case(__file__).run(body)
