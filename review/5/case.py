"""A client sends requests whose paths no route's prefix begins; they begin with two slashes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from harness import BROKEN, HELD, Case, Client, Daemon, Replica, Store, configuration, route

REQUESTS = 20
PATHS = ("/never/history/{}", "/history-/{}")  # routes that never existed
TROUBLE_PATH = "//never/history/{}"


async def body(case: Case) -> int:
    store = Store(case.host())
    case.servers.append(store)
    await store.start()
    routes = [route("history", "safe", "parts-desk")]
    store.put(
        "config", "main", configuration(routes, [{"name": "parts-desk", "maxConns": 110}])
    )
    replicas = [Replica(store, f"i-parts-{i}", "parts-desk", case.host()) for i in range(3)]
    for replica in replicas:
        case.servers.append(replica)
        await replica.start()
    daemon = Daemon("front-0", case.host(), store, case.folder)
    case.daemons = [daemon]
    await daemon.start()
    await daemon.wait_ready()
    await asyncio.sleep(3.0)
    client = Client(daemon, case.attempts)
    for number in range(REQUESTS):
        await client.send("GET", f"/history/{number}")
        for path in (*PATHS, TROUBLE_PATH) if case.trouble else PATHS:
            await client.send("GET", path.format(number))
    client.close()
    case.log_attempts(replicas)
    ran = {attempt for replica in replicas for attempt in replica.runs}
    wrong = [a for a in case.attempts if a.id in ran and not a.path.startswith("/history/")]
    for a in wrong:
        case.log(f"no route: {a.path} was run and answered {a.status}")
    case.verdict(f"{len(case.attempts)} requests; {len(wrong)} of those without a route were run")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    Case(__file__).run(body)
