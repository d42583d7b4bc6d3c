"""Runs seeds of the soak: ``python -m soak --first 1 --count 50 --seconds 20``."""

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path

import defopt

from soak._callers import KINDS, Callers
from soak._faults import FAULTS
from soak._judge import judge
from soak._world import EXTRA, World

CALLERS = 10
CALLER_PAUSE_SECONDS = 0.08
PROBE_SECONDS = 0.2
FAULT_PAUSE_SECONDS = 0.7  # several overlap, since most last longer
RECOVERY_SECONDS = 12.0  # the platform's bound on serving again after the last fault
LAG_SECONDS = 0.4  # beyond it the machine held up everything, and no time bound can be judged


async def soak(seed: int, seconds: float, directory: Path) -> list[str]:
    """Play one seed; return what was broken."""
    random_source = random.Random(seed)
    world = World(directory, random_source)
    callers = Callers(random.Random(seed + 1), world.daemons)
    watching = asyncio.create_task(_watch_lag(world))
    try:
        await world.start()
        calling = [asyncio.create_task(callers.run(CALLER_PAUSE_SECONDS)) for _ in range(CALLERS)]
        calling.append(asyncio.create_task(_probe(callers)))
        await _inject(world, seconds)
        callers.stopping = True
        await asyncio.gather(*calling)
        recovered = await _recover(callers)
        return judge(world, callers.sightings) + recovered
    finally:
        watching.cancel()
        await world.stop()


async def _inject(world: World, seconds: float) -> None:
    """Start faults one after the other, whether or not earlier ones are over."""
    tasks: list[asyncio.Task[None]] = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(FAULT_PAUSE_SECONDS * world.random_source.uniform(0.3, 1.7))
        fault = world.random_source.choice(FAULTS)
        print(f"  {time.monotonic() - world.began:6.2f} s {fault.__name__}", flush=True)
        tasks.append(asyncio.create_task(fault(world)))
    await asyncio.gather(*tasks)


async def _probe(callers: Callers) -> None:
    """Ask for the route that comes and goes, on a connection of its own each time."""
    while not callers.stopping:
        await asyncio.sleep(PROBE_SECONDS)
        daemon = callers.random_source.choice(callers.daemons)
        await callers.ask_anew(daemon, EXTRA)


async def _recover(callers: Callers) -> list[str]:
    """Return the kinds that a daemon still does not serve after the bound."""
    missing = {(daemon.name, kind) for daemon in callers.daemons for kind in KINDS}
    end = time.monotonic() + RECOVERY_SECONDS
    while missing and time.monotonic() < end:
        for daemon in callers.daemons:
            for kind in KINDS:
                sighting = await callers.ask_anew(daemon, kind)
                if sighting is not None and sighting.status == 200 and sighting.whole:
                    missing.discard((daemon.name, kind))
    return [f"{name} does not serve {kind} again" for name, kind in sorted(missing)]


async def _watch_lag(world: World) -> None:
    """Excuse everybody while the machine holds up the soak itself."""
    while True:
        began = time.monotonic()
        await asyncio.sleep(0.05)
        if time.monotonic() - began > LAG_SECONDS:
            print(f"the machine stood still for {time.monotonic() - began:.2f} s", flush=True)
            for daemon in world.daemons:
                daemon.harm(1.0)


def main(*, first: int = 1, count: int = 1, seconds: float = 20.0, logs: Path | None = None) -> int:
    """Play seeds one after the other.

    :param first: The first seed.
    :param count: How many seeds.
    :param seconds: How long faults are injected.
    :param logs: Where the daemons' logs are kept; a temporary directory by default.
    """
    broken = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as scratch:
            directory = logs / str(seed) if logs is not None else Path(scratch)
            directory.mkdir(parents=True, exist_ok=True)
            faults = asyncio.run(soak(seed, seconds, directory))
        print(f"seed {seed}: {'kept' if not faults else f'{len(faults)} broken'}", flush=True)
        for fault in faults:
            print(f"  {fault}", flush=True)
        broken += bool(faults)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
