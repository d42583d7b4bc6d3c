"""Measures the cost figures of docs/CAPACITY.md: ``python -m bench.capacity [COUNT]``.

Components of one daemon process synthetic state of increasing size through their usual interfaces,
and fleets of daemons run without requests on loopback with an increasing number of endpoints.
COUNT restricts the fleets to the first COUNT entries of ``FLEET_SIZES``.
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

from ragwortpaddle_standins.fleet import EngineShape, Fleet, fetch_json
from ragwortpaddled.protocol import (
    Delta,
    Digest,
    GossipEntry,
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
    build_object_set,
    decode_release,
    encode_release,
)
from ragwortpaddled.transport import KeyRing

WARM_UP_SECONDS = 6.0
MEASUREMENT_SECONDS = 10.0
FLEET_SIZES = ((3, 30), (9, 30), (20, 30), (40, 30), (9, 120), (9, 300))  # (daemons, endpoints)
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIB = 1024


def mean_cpu_us(function: Callable[[], object], count: int) -> float:
    """Return the mean CPU time of one call, in microseconds."""
    started_at = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - started_at) / count * 1e6


def measure_gossip(members: int) -> dict[str, float]:
    """Measure one gossip digest between two daemons, from encoding to the search for deltas."""

    def build_table(name: str) -> GossipTable:
        gossip_table = GossipTable(Origin(name, 1, "dc", "10.0.0.1:9000"))
        for index in range(members):
            origin = Origin(f"entry-{index}", 1, "dc", "10.0.0.1:9000")
            entry = GossipEntry("demand", 5, bytes(60))
            gossip_table.merge([Delta(origin, 5, 7, [entry])])
        return gossip_table

    sender, receiver = build_table("mine"), build_table("theirs")
    names = list(sender.state_by_name)
    with tempfile.NamedTemporaryFile("w") as key_file:
        key_file.write("k " + "ab" * 32)
        key_file.flush()
        key_ring = KeyRing(Path(key_file.name))

    def send_digest() -> bytes:
        signed = key_ring.sign(encode_message(Digest(sender.digest(names))), b"c")
        message = decode_message(key_ring.verify(signed)[0])
        assert isinstance(message, Digest)
        for line in message.lines:
            receiver.update_heartbeat(line.origin, line.heartbeat)
        receiver.deltas_for(message.lines, names)
        return signed

    return {
        "members": members,
        "CPU us a digest": round(mean_cpu_us(send_digest, 50), 1),
        "bytes a digest": len(send_digest()),
    }


def measure_release_decoding(teams: int) -> dict[str, float]:
    """Measure decoding of a release with some teams and one route for every five teams."""
    objects = [Pool("pool", "model", "m", "1", 12), Priority("normal", 5)]
    for index in range(teams):
        digest = hashlib.sha256(str(index).encode()).hexdigest()
        objects.append(Team(f"team-{index}", digest))
    objects += [Route(f"route-{index}", "pool", "normal") for index in range(teams // 5)]
    encoded = encode_release(Release(1, "bench", 0.0, build_object_set(objects)))
    peak_rss_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    decode_us = mean_cpu_us(lambda: decode_release(encoded), 5)
    peak_rss_after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {
        "teams": teams,
        "bytes": len(encoded),
        "CPU ms to adopt": round(decode_us / 1000, 2),
        "peak growth KiB": peak_rss_after - peak_rss_before,
    }


def measure_idle_fleet(daemons: int, endpoints: int) -> dict[str, float]:
    """Measure CPU, memory, peer messages and platform calls of idle daemons in one data centre."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder), log_level="error") as running_fleet,
    ):
        running_fleet.start_platform()
        engine = running_fleet.start_engine("engine", "pool", 12, EngineShape(0, 12))
        for index in range(endpoints - 1):
            running_fleet.put_vm(f"engine-{index}", "endpoint", engine.address, "dc-a", "pool")
        with ThreadPoolExecutor(8) as executor:
            names = [f"entry-{index + 1}" for index in range(daemons)]
            list(executor.map(running_fleet.start_daemon, names))
        time.sleep(WARM_UP_SECONDS)
        before = _read_totals(running_fleet)
        time.sleep(MEASUREMENT_SECONDS)
        after = _read_totals(running_fleet)
    per_daemon_second = 1 / daemons / MEASUREMENT_SECONDS
    return {
        "daemons": daemons,
        "endpoints": endpoints,
        "CPU % of a core": round(100 * (after["cpu"] - before["cpu"]) * per_daemon_second, 2),
        "RSS MiB": round(after["rss"] / daemons / KIB / KIB, 1),
        "peer KB/s sent and received": round(
            (after["bytes"] - before["bytes"]) * per_daemon_second / 1e3, 2
        ),
        "peer messages/s": round((after["messages"] - before["messages"]) * per_daemon_second, 2),
        "platform calls/s of all": round(
            (after["calls"] - before["calls"]) / MEASUREMENT_SECONDS, 2
        ),
    }


def _read_totals(running_fleet: Fleet) -> dict[str, float]:
    totals = {"cpu": 0.0, "rss": 0.0, "bytes": 0.0, "messages": 0.0}
    for daemon in running_fleet.daemons:
        status = fetch_json(f"{daemon.url}/status")
        totals["bytes"] += status["peer_bytes_sent"] + status["peer_bytes_received"]
        totals["messages"] += status["peer_messages_sent"]
        process_directory = Path(f"/proc/{daemon.popen.pid}")
        stat_fields = (process_directory / "stat").read_text().rsplit(")", 1)[1].split()
        totals["cpu"] += (int(stat_fields[11]) + int(stat_fields[12])) / CLOCK_TICKS_PER_SECOND
        resident_pages = int((process_directory / "statm").read_text().split()[1])
        totals["rss"] += resident_pages * os.sysconf("SC_PAGE_SIZE")
    calls = fetch_json(f"{running_fleet.platform.url}/calls")
    totals["calls"] = sum(count for name, count in calls.items() if ":" not in name)
    return totals


def main() -> None:
    """Run every measurement, print the results and write them to out/capacity.json."""
    random.seed(1)
    rows_by_section: dict[str, list[dict[str, float]]] = {"gossip": [], "releases": [], "fleet": []}
    for members in (10, 42, 100, 200):
        rows_by_section["gossip"].append(measure_gossip(members))
    for teams in (10, 100, 720):
        rows_by_section["releases"].append(measure_release_decoding(teams))
    fleet_sizes = FLEET_SIZES[: int(sys.argv[1])] if len(sys.argv) > 1 else FLEET_SIZES
    for daemons, endpoints in fleet_sizes:
        rows_by_section["fleet"].append(measure_idle_fleet(daemons, endpoints))
        print(rows_by_section["fleet"][-1], flush=True)
    for name in ("gossip", "releases"):
        for row in rows_by_section[name]:
            print(name, row)
    Path("out").mkdir(exist_ok=True)
    Path("out/capacity.json").write_text(json.dumps(rows_by_section, indent=1))


if __name__ == "__main__":
    main()
