"""Measures latency and store writes of operations that run at most once, at several rates.

``python -m bench.operations [RATE ...]`` compares sharded operation records with one stored object
per operation. Rates are operations per second.
"""

import asyncio
import json
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from aiohttp import ClientSession
from ragwortpaddle_standins.fleet import Fleet, fetch_json

from bench.load import new_session, percentile_ms
from bench.scenarios import Installation, format_objects

DAEMON_COUNT = 9
LOAD_SECONDS = 10.0
REQUEST_TIMEOUT_SECONDS = 20.0
QUIESCE_SECONDS = 2.0  # before and after the load, for store writes still in progress
SEED = 7


@dataclass(frozen=True, slots=True)
class OperationResult:
    """Status (0 without a response) of one operation, and latency from its scheduled start."""

    status: int
    latency_seconds: float


def measure_policy(policy: str, rate: float) -> dict[str, object]:
    """Run operations at a rate (per second) under a policy and return the measurements."""
    daemon_module = ("ragwortpaddled",) if policy == "sharded" else ("bench.baselines", policy)
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(Path(folder), daemon_module=daemon_module, log_level="warning") as fleet,
    ):
        fleet.start_platform()
        for index in range(3):
            fleet.start_service(f"parts-{index + 1}", "parts")
        for index in range(DAEMON_COUNT):
            fleet.start_daemon(f"entry-{index + 1}", f"dc-{'abc'[index % 3]}")
        objects_path = Path(folder) / "objects.ini"
        objects_path.write_text(format_objects(Installation()))
        fleet.publish(objects_path)
        fleet.wait_ready()
        time.sleep(QUIESCE_SECONDS)
        before = fetch_json(f"{fleet.platform.url}/calls")
        results = asyncio.run(_send_operations([daemon.url for daemon in fleet.daemons], rate))
        time.sleep(QUIESCE_SECONDS)
        after = fetch_json(f"{fleet.platform.url}/calls")
    succeeded = [result for result in results if result.status == 200]
    writes = sum(
        after.get(name, 0) - before.get(name, 0)
        for name in after
        if name.startswith("write:operation")
    )
    latencies = [result.latency_seconds for result in succeeded]
    return {
        "operations": len(results),
        "answered": len(succeeded),
        "writes an operation": round(writes / max(1, len(succeeded)), 3),
        "p50 ms": round(percentile_ms(latencies, 50), 1),
        "p99 ms": round(percentile_ms(latencies, 99), 1),
    }


async def _send_operations(urls: list[str], rate: float) -> list[OperationResult]:
    rng = random.Random(SEED)
    started_at = time.monotonic()
    due_seconds = 0.0
    tasks = []
    async with new_session(REQUEST_TIMEOUT_SECONDS) as session:
        while due_seconds < LOAD_SECONDS:
            due_seconds += rng.expovariate(rate)
            delay = started_at + due_seconds - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            url = rng.choice(urls)
            tasks.append(
                asyncio.create_task(
                    _send_operation(session, url, f"k{due_seconds}", started_at + due_seconds)
                )
            )
        return list(await asyncio.gather(*tasks))


async def _send_operation(
    session: ClientSession, url: str, idempotency_key: str, due_at: float
) -> OperationResult:
    headers = {"Authorization": "Bearer zurich-token", "Idempotency-Key": idempotency_key}
    try:
        async with session.post(
            f"{url}/services/orders/new", data=b"{}", headers=headers
        ) as response:
            await response.read()
            return OperationResult(response.status, time.monotonic() - due_at)
    except Exception:
        return OperationResult(0, time.monotonic() - due_at)


def main() -> None:
    """Measure each policy at each rate, print the results and write out/operations.json."""
    rates = [float(rate) for rate in sys.argv[1:]] or [50.0, 200.0, 500.0]
    row_by_run = {}
    for rate in rates:
        for policy in ("sharded", "object_per_operation"):
            row_by_run[f"{policy} at {rate:g}/s"] = row = measure_policy(policy, rate)
            print(f"{policy} at {rate:g}/s: {row}", flush=True)
    Path("out").mkdir(exist_ok=True)
    Path("out/operations.json").write_text(json.dumps(row_by_run, indent=1))


if __name__ == "__main__":
    main()
