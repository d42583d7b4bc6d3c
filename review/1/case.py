"""An engine fails some requests with bytes that never end; the daemons stop answering."""

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from harness import (
    BROKEN,
    CONTACT_SECONDS,
    HELD,
    Attempt,
    Case,
    Client,
    Daemon,
    Engine,
    NotRunError,
    Replica,
    Request,
    Store,
    configuration,
    model_service,
    route,
)

STREAMS_PER_SECOND = 6.4  # at both daemons: 2 of the 9 machines' share of the sheet's 28.6
ENGINES = 8
TROUBLE_SECONDS = 6.5  # for_s of srv_grey in the site file
FAILED_SHARE = 0.45  # x of srv_grey there
PIECE_BYTES = 8  # about one token
PIECES_IN_A_WRITE = 1000
WRITE_PAUSE_SECONDS = 0.001
CLIENT_GAP_SECONDS = 2.0  # after which a client abandons a stream, also before its first event
ORDER_CLIENTS = 10  # at each daemon
ORDER_PAUSE_SECONDS = 0.3
ORDER_TIMEOUT_SECONDS = 1.2  # timeoutMs of the orders' route
ORDER_DEADLINE_MS = 2500
GRACE_SECONDS = 0.5  # of the rule
SECONDS = 20.0


class TroubledEngine(Engine):
    """An engine that can fail some of its requests with bytes without end."""

    in_trouble = False
    failed = 0

    async def work(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.in_trouble and random.random() < FAILED_SHARE:
            self.failed += 1
            await self.send_without_end(request, writer)
        await super().work(request, writer)

    async def send_without_end(self, request: Request, writer: asyncio.StreamWriter) -> None:
        headers = {**self.answer_headers(request), "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        piece = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
        while True:
            writer.write(piece * PIECES_IN_A_WRITE)
            await writer.drain()
            await asyncio.sleep(WRITE_PAUSE_SECONDS)


async def send_orders(client: Client, until: float) -> None:
    while time.monotonic() < until:
        await asyncio.sleep(random.uniform(0.5, 1.5) * ORDER_PAUSE_SECONDS)
        await client.send(
            "POST", "/order-part/new", body=b'{"part":"resistor"}', deadline_ms=ORDER_DEADLINE_MS
        )
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


async def send_streams(daemons: list[Daemon], attempts: list[Attempt], until: float) -> None:
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until:
            group.create_task(send_stream(random.choice(daemons), attempts))
            await asyncio.sleep(random.expovariate(STREAMS_PER_SECOND))


async def body(case: Case) -> int:
    store = Store(case.host())
    case.servers.append(store)
    await store.start()
    routes = [
        route("order-part", "unsafe", "parts-desk", timeoutMs=int(ORDER_TIMEOUT_SECONDS * 1000)),
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
    desks = [Replica(store, f"i-parts-{i}", "parts-desk", case.host()) for i in range(3)]
    engines = [
        TroubledEngine(store, f"i-model-{i}", "assistant", case.host(), slots=96, queue=0)
        for i in range(ENGINES)
    ]
    for server in (*desks, *engines):
        case.servers.append(server)
        await server.start()
    case.daemons = [Daemon(f"front-{i}", case.host(), store, case.folder) for i in range(2)]
    for daemon in case.daemons:
        await daemon.start()
    for daemon in case.daemons:
        await daemon.wait_ready()
    deadline = time.monotonic() + 20.0
    while not all(engine.layers for engine in engines):
        if time.monotonic() > deadline:
            raise NotRunError("not every engine was ordered to hold layers")
        await asyncio.sleep(0.05)
    await asyncio.sleep(CONTACT_SECONDS)
    until = time.monotonic() + SECONDS
    traffic = [
        asyncio.create_task(send_orders(Client(daemon, case.attempts), until))
        for daemon in case.daemons
        for _ in range(ORDER_CLIENTS)
    ]
    traffic.append(asyncio.create_task(send_streams(case.daemons, case.attempts, until)))
    await asyncio.sleep(4.0)
    troubled = next(e for e in engines if e.layers and e.layers[0] == 0)
    if case.trouble:
        troubled.in_trouble = True
        case.log(f"{troubled.id} fails requests with bytes without end")
    await asyncio.sleep(TROUBLE_SECONDS)
    troubled.in_trouble = False
    case.log(f"{troubled.id} is sound again; it has failed {troubled.failed} requests")
    await asyncio.gather(*traffic)
    case.log_attempts([*desks, *engines])
    return judge(case)


def judge(case: Case) -> int:
    """Apply CONFIG: of what is unanswered at timeoutMs, no more than half half a second later."""
    orders = [a for a in case.attempts if a.path.startswith("/order-part/")]
    unanswered = [a for a in orders if a.ended_at - a.sent_at > ORDER_TIMEOUT_SECONDS]
    later = [
        a for a in unanswered if a.ended_at - a.sent_at > ORDER_TIMEOUT_SECONDS + GRACE_SECONDS
    ]
    for a in later:
        seconds = a.ended_at - a.sent_at
        how = str(a.status or a.end)
        case.log(f"unanswered: order {a.id} at {a.daemon} for {seconds:.3f} s, then {how}")
    for daemon in case.daemons:
        ends = sorted(a.ended_at for a in orders if a.daemon == daemon.name and a.status)
        ends.append(max(a.ended_at for a in orders))
        gaps = [(after - before, before) for before, after in itertools.pairwise(ends)]
        gap, at = max(gaps, default=(0.0, case.started_at))
        case.log(f"{daemon.name} answered no order for {gap:.3f} s from here", at)
        print(f"{daemon.name}: longest time without an answer to an order {gap:.3f} s")
    case.verdict(
        f"{len(orders)} orders; {len(unanswered)} were unanswered at timeoutMs, {len(later)} of "
        "these still half a second later"
    )
    return BROKEN if len(later) > len(unanswered) / 2 else HELD


if __name__ == "__main__":
    Case(__file__).run(body)
