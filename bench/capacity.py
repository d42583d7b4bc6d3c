"""Measures the slopes behind docs/CAPACITY.md: ``python -m bench.capacity [FLEET ...]``.

One daemon's parts are fed synthetic state of growing size through their real interfaces, and
fleets of real daemons idle on loopback with a growing number of endpoints.
"""

import hashlib
import json
import os
import random
import resource
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from ragwortpaddle_standins.fleet import EngineShape, Fleet, fetch
from ragwortpaddled.protocol import (
    Delta,
    Digest,
    Entry,
    Origin,
    decode_message,
    encode_message,
)
from ragwortpaddled.state import (
    GossipTable,
    Pool,
    Priority,
    Release,
    Route,
    Team,
    collect,
    decode_release,
    encode_release,
)
from ragwortpaddled.transport import KeyRing

SETTLE_SECONDS = 6.0
MEASURE_SECONDS = 10.0
FLEETS = ((3, 30), (9, 30), (20, 30), (40, 30), (9, 120), (9, 300))
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
KIB = 1024


def timed(work: Callable[[], object], count: int) -> float:
    """Return the CPU microseconds of one run."""
    started_at = time.process_time()
    for _ in range(count):
        work()
    return (time.process_time() - started_at) / count * 1e6


def gossip(members: int) -> dict[str, float]:
    """Measure one exchange between two daemons that know some members."""

    def table(name: str) -> GossipTable:
        result = GossipTable(Origin(name, 1, "dc", "10.0.0.1:9000"))
        for index in range(members):
            origin = Origin(f"entry-{index}", 1, "dc", "10.0.0.1:9000")
            entry = Entry("demand", 5, bytes(60))
            result.merge([Delta(origin, 5, 7, [entry])])
        return result

    mine, theirs = table("mine"), table("theirs")
    names = list(mine.state_by_name)
    with tempfile.NamedTemporaryFile("w") as key_file:
        key_file.write("k " + "ab" * 32)
        key_file.flush()
        keys = KeyRing(Path(key_file.name))

    def exchange() -> bytes:
        sealed = keys.seal(encode_message(Digest(mine.digest(names))), b"c")
        message = decode_message(keys.open(sealed)[0])
        assert isinstance(message, Digest)
        for line in message.lines:
            theirs.advance(line.origin, line.heartbeat)
        theirs.lacking(message.lines, names)
        return sealed

    return {
        "members": members,
        "CPU us a digest": round(timed(exchange, 50), 1),
        "bytes a digest": len(exchange()),
    }


def releases(teams: int) -> dict[str, float]:
    """Measure a release with some teams and two routes for each ten of them."""
    items = [Pool("pool", "model", "m", "1", 12), Priority("normal", 5)]
    for index in range(teams):
        digest = hashlib.sha256(str(index).encode()).hexdigest()
        items.append(Team(f"team-{index}", digest))
    items += [Route(f"route-{index}", "pool", "normal") for index in range(teams // 5)]
    text = encode_release(Release(1, "bench", 0.0, collect(items)))
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    us = timed(lambda: decode_release(text), 5)
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {
        "teams": teams,
        "bytes": len(text),
        "CPU ms to adopt": round(us / 1000, 2),
        "peak growth KiB": after - before,
    }


def fleet(daemons: int, endpoints: int) -> dict[str, float]:
    """Measure idle daemons of one data centre: CPU, memory, messages, platform calls."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder), log_level="error") as running:
        running.start_platform()
        engine = running.start_engine("engine", "pool", 12, EngineShape(0, 12))
        for index in range(endpoints - 1):
            running.list_vm(f"engine-{index}", "endpoint", engine.address, "dc-a", "pool")
        with ThreadPoolExecutor(8) as starters:
            names = [f"entry-{index + 1}" for index in range(daemons)]
            list(starters.map(running.start_daemon, names))
        time.sleep(SETTLE_SECONDS)
        before = _sample(running)
        time.sleep(MEASURE_SECONDS)
        after = _sample(running)
    per_daemon = 1 / daemons / MEASURE_SECONDS
    return {
        "daemons": daemons,
        "endpoints": endpoints,
        "CPU % of a core": round(100 * (after["cpu"] - before["cpu"]) * per_daemon, 2),
        "RSS MiB": round(after["rss"] / daemons / KIB / KIB, 1),
        "peer KB/s sent and received": round(
            (after["bytes"] - before["bytes"]) * per_daemon / 1e3, 2
        ),
        "peer messages/s": round((after["messages"] - before["messages"]) * per_daemon, 2),
        "platform calls/s of all": round((after["calls"] - before["calls"]) / MEASURE_SECONDS, 2),
    }


def _sample(running: Fleet) -> dict[str, float]:
    totals = {"cpu": 0.0, "rss": 0.0, "bytes": 0.0, "messages": 0.0}
    for daemon in running.daemons:
        status = fetch(f"{daemon.url}/status")
        totals["bytes"] += status["peer_bytes_sent"] + status["peer_bytes_received"]
        totals["messages"] += status["peer_messages_sent"]
        folder = Path(f"/proc/{daemon.popen.pid}")
        fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
        totals["cpu"] += (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND
        pages = int((folder / "statm").read_text().split()[1])
        totals["rss"] += pages * os.sysconf("SC_PAGE_SIZE")
    calls = fetch(f"{running.platform.url}/calls")
    totals["calls"] = sum(count for name, count in calls.items() if ":" not in name)
    return totals


def main() -> None:
    """Print every slope and keep them in out/capacity.json."""
    random.seed(1)
    rows: dict[str, list[dict[str, float]]] = {"gossip": [], "releases": [], "fleet": []}
    for members in (10, 42, 100, 200):
        rows["gossip"].append(gossip(members))
    for teams in (10, 100, 720):
        rows["releases"].append(releases(teams))
    chosen = FLEETS[: int(sys.argv[1])] if len(sys.argv) > 1 else FLEETS
    for daemons, endpoints in chosen:
        rows["fleet"].append(fleet(daemons, endpoints))
        print(rows["fleet"][-1], flush=True)
    for name in ("gossip", "releases"):
        for row in rows[name]:
            print(name, row)
    Path("out").mkdir(exist_ok=True)
    Path("out/capacity.json").write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
