"""Runs seeds of the soak: ``python -m soak --first 1 --count 50 --seconds 20``."""

import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path

import defopt

from soak._callers import ROUTES, Callers
from soak._faults import FAULTS, cut_off_daemons
from soak._installation import DISTURBANCE_GRACE_SECONDS, OPTIONAL_ROUTE, Installation
from soak._invariants import compare_service, find_violations

CALLER_COUNT = 10
CALLER_PAUSE_SECONDS = 0.08
PROBE_INTERVAL_SECONDS = 0.2
MEAN_FAULT_INTERVAL_SECONDS = 0.7  # shorter than most faults last, so that several overlap
RECOVERY_TIMEOUT_SECONDS = 12.0  # the platform's limit for serving again after the last fault
MIN_UNDISTURBED_CUT_SECONDS = 5.0  # service is compared only from 3 s after its start
MAX_STALL_SECONDS = 0.4  # time limits cannot be checked when the machine stalls longer


async def run_seed(seed: int, seconds: float, directory: Path) -> list[str]:
    """Run the soak with one seed; return a description of each violated invariant."""
    random_source = random.Random(seed)
    installation = Installation(directory, random_source)
    callers = Callers(random.Random(seed + 1), installation.daemons)
    stall_monitor = asyncio.create_task(_monitor_stalls(installation))
    try:
        await installation.start()
        caller_tasks = [
            asyncio.create_task(callers.run(CALLER_PAUSE_SECONDS)) for _ in range(CALLER_COUNT)
        ]
        caller_tasks.append(asyncio.create_task(_probe_optional_route(callers)))
        await _inject_faults(installation, seconds)
        await _cut_off_undisturbed(installation)
        callers.stopping = True
        await asyncio.gather(*caller_tasks)
        recovery_violations = await _check_recovery(callers)
        served, served_elsewhere = compare_service(installation, callers.records)
        print(
            f"  served {sum(served)} of {len(served)} requests at daemons that were cut off, "
            f"{sum(served_elsewhere)} of {len(served_elsewhere)} at the others",
            flush=True,
        )
        return find_violations(installation, callers.records) + recovery_violations
    finally:
        stall_monitor.cancel()
        await installation.stop()


async def _inject_faults(installation: Installation, seconds: float) -> None:
    """Start faults one after the other without waiting for earlier ones to end."""
    tasks: list[asyncio.Task[None]] = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(
            MEAN_FAULT_INTERVAL_SECONDS * installation.random_source.uniform(0.3, 1.7)
        )
        fault = installation.random_source.choice(FAULTS)
        print(f"  {time.monotonic() - installation.started_at:6.2f} s {fault.__name__}", flush=True)
        tasks.append(asyncio.create_task(_call_fault(fault, installation)))
    await asyncio.gather(*tasks)


async def _call_fault(
    fault: Callable[[Installation], Coroutine[None, None, None]], installation: Installation
) -> None:
    """Inject a fault and record its start and end times."""
    started_at = time.monotonic()
    await fault(installation)
    installation.fault_calls.append((fault, started_at, time.monotonic()))


async def _cut_off_undisturbed(installation: Installation) -> None:
    """Cut daemons off once more when nothing else is disturbed, so that their service shows."""
    disturbed_until = max(daemon.disturbed_until for daemon in installation.daemons)
    await asyncio.sleep(max(DISTURBANCE_GRACE_SECONDS, disturbed_until - time.monotonic()))
    await cut_off_daemons(installation, MIN_UNDISTURBED_CUT_SECONDS)


async def _probe_optional_route(callers: Callers) -> None:
    """Send requests on the optional route, each on a new connection, until callers stop."""
    while not callers.stopping:
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        daemon = callers.random_source.choice(callers.daemons)
        await callers.send_on_new_connection(daemon, OPTIONAL_ROUTE)


async def _check_recovery(callers: Callers) -> list[str]:
    """Return a description of each route that a daemon does not serve within the timeout."""
    unserved = {(daemon.name, route) for daemon in callers.daemons for route in ROUTES}
    end = time.monotonic() + RECOVERY_TIMEOUT_SECONDS
    while unserved and time.monotonic() < end:
        for daemon in callers.daemons:
            for route in ROUTES:
                record = await callers.send_on_new_connection(daemon, route)
                if record is not None and record.status == 200 and record.complete:
                    unserved.discard((daemon.name, route))
    return [f"{name} does not serve {route} again" for name, route in sorted(unserved)]


async def _monitor_stalls(installation: Installation) -> None:
    """Exempt all daemons from time limits while the machine stalls the soak itself."""
    while True:
        started_at = time.monotonic()
        await asyncio.sleep(0.05)
        if time.monotonic() - started_at > MAX_STALL_SECONDS:
            print(
                f"event loop of the soak stalled for {time.monotonic() - started_at:.2f} s",
                flush=True,
            )
            for daemon in installation.daemons:
                daemon.mark_disturbed(1.0, started_at)


def main(*, first: int = 1, count: int = 1, seconds: float = 20.0, logs: Path | None = None) -> int:
    """Run seeds one after the other.

    :param first: First seed.
    :param count: Number of seeds.
    :param seconds: Duration of the fault injection for each seed.
    :param logs: Directory for the logs of the daemons; a temporary one by default.
    """
    failed_seed_count = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as scratch:
            directory = logs / str(seed) if logs is not None else Path(scratch)
            directory.mkdir(parents=True, exist_ok=True)
            violations = asyncio.run(run_seed(seed, seconds, directory))
        print(
            f"seed {seed}: {'kept' if not violations else f'{len(violations)} broken'}", flush=True
        )
        for violation in violations:
            print(f"  {violation}", flush=True)
        failed_seed_count += bool(violations)
    return 1 if failed_seed_count else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
