"""A replica reports that it is draining while a daemon that starts reads the list of servers."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from harness import (
    BROKEN,
    CONTACT_SECONDS,
    DRAIN_TIMEOUT_SECONDS,
    HELD,
    Case,
    Client,
    Daemon,
    NotRunError,
    Replica,
    Store,
    configuration,
    route,
)

PAGE_SIZE = 50  # of the store's lists, as the site files give it
OTHER_SERVERS = 50  # entries of another service, without traffic; 41 and scale_out make 53
REPORT_AFTER_LIST_SECONDS = 1.0  # without the trouble: when the list has been read
LINGERS_SECONDS = 4.0  # beyond drainTimeoutMs; "at times many seconds"
CLIENTS = 15  # at each daemon
PAUSE_SECONDS = 0.3


async def send_orders(client: Client, until: float) -> None:
    while time.monotonic() < until:
        await asyncio.sleep(random.uniform(0.5, 1.5) * PAUSE_SECONDS)
        await client.send("POST", "/order-part/new", body=b'{"part":"resistor"}')
    client.close()


async def first_page_read(store: Store, since: float) -> None:
    """Wait until a list of the servers has begun."""
    while not any(
        at > since and kind == "servers" and not after for at, kind, after in store.list_calls
    ):
        await asyncio.sleep(0.001)


async def body(case: Case) -> int:
    store = Store(case.host(), page_size=PAGE_SIZE)
    case.servers.append(store)
    await store.start()
    store.put(
        "config",
        "main",
        configuration(
            [route("order-part", "unsafe", "parts-desk"), route("idle", "safe", "other")],
            [{"name": "parts-desk", "maxConns": 110}, {"name": "other", "maxConns": 110}],
        ),
    )
    replicas = [Replica(store, f"i-a-parts-{i}", "parts-desk", case.host()) for i in range(3)]
    for replica in replicas:
        case.servers.append(replica)
        await replica.start()
    other_host = case.host()
    for i in range(OTHER_SERVERS):
        spec = {
            **replicas[0].spec(),
            "service": "other",
            "address": f"{other_host}:{10_000 + i}",
        }
        store.put("servers", f"i-b-other-{i:04}", spec)
    case.daemons = [Daemon(f"front-{i}", case.host(), store, case.folder) for i in range(2)]
    await case.daemons[0].start()
    await case.daemons[0].wait_ready()
    await asyncio.sleep(4.0)
    starter, leaver = case.daemons[1], replicas[0]
    reported_at: list[float] = []

    def report() -> None:
        leaver.leaving = True
        store.put("servers", leaver.id, leaver.spec("draining"))
        reported_at.append(time.monotonic())
        case.log(f"{leaver.id} reports that it is draining, and the store acknowledges")

    if case.trouble:
        store.after_first_page = report
    await starter.start()
    await first_page_read(store, starter.started_at)
    if not case.trouble:
        await asyncio.sleep(REPORT_AFTER_LIST_SECONDS)
        report()
    await starter.wait_ready()
    drained_at = reported_at[0]
    pages = [c for c in store.list_calls if c[1] == "servers" and c[0] > starter.started_at]
    case.log(f"{starter.name} is ready after {len(pages)} pages", pages[-1][0])
    if case.trouble and not pages[0][0] <= drained_at < pages[-1][0]:
        raise NotRunError("the report did not fall between two pages of the list")
    until = drained_at + DRAIN_TIMEOUT_SECONDS + LINGERS_SECONDS + 1.0
    clients = [
        asyncio.create_task(send_orders(Client(daemon, case.attempts), until))
        for daemon in case.daemons
        for _ in range(CLIENTS)
    ]
    exit_at = drained_at + DRAIN_TIMEOUT_SECONDS + LINGERS_SECONDS
    await asyncio.sleep(exit_at - time.monotonic())
    store.remove("servers", leaver.id)
    leaver.exit()
    case.log(f"{leaver.id} exits")
    await asyncio.gather(*clients)
    case.log_attempts(replicas)
    return judge(case, leaver, drained_at)


def judge(case: Case, leaver: Replica, drained_at: float) -> int:
    """Apply DRAIN: what reaches the replica later than drainTimeoutMs, from machines in touch."""
    in_touch_from = {daemon.name: daemon.started_at + CONTACT_SECONDS for daemon in case.daemons}
    arrived = {attempt: at for at, attempt in leaver.arrivals}
    late = [
        a
        for a in case.attempts
        if a.id in arrived
        and arrived[a.id] > drained_at + DRAIN_TIMEOUT_SECONDS
        and a.sent_at > in_touch_from[a.daemon]
    ]
    lost = [a for a in late if leaver.runs.get(a.id) == "cut"]
    for a in late:
        seconds = arrived[a.id] - drained_at
        case.log(
            f"late: {a.id} reached {leaver.id} from {a.daemon} {seconds:.3f} s after its report"
        )
    for a in lost:
        case.log(f"lost: {a.id} was cut off by the exit of {leaver.id}; answered {a.status}")
    case.verdict(
        f"{len(case.attempts)} orders; {len(late)} reached {leaver.id} later than drainTimeoutMs "
        f"after its report, {len(lost)} of these were cut off by its exit"
    )
    return BROKEN if late else HELD


if __name__ == "__main__":
    Case(__file__).run(body)
