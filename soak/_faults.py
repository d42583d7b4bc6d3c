"""Faults from outside, drawn from a seed; they overlap and come in series."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine

from ragwortpaddle_standins.users_platform import Endpoint

from soak._proxy import Mode
from soak._world import CONTACT_SECONDS, LEAVE_SECONDS, World

MIN_DESKS = 2
MIN_ENGINES = 4


async def kill(world: World) -> None:
    """Kill a daemon and start it again."""
    daemon = world.random_source.choice(world.daemons)
    daemon.harm(CONTACT_SECONDS + 4.0)
    await daemon.restart(signal.SIGKILL)


async def terminate(world: World) -> None:
    """Stop a daemon gracefully and start it again."""
    daemon = world.random_source.choice(world.daemons)
    daemon.harm(CONTACT_SECONDS + 9.0)
    await daemon.restart(signal.SIGTERM)


async def pause(world: World) -> None:
    """Hold a daemon for a while."""
    daemon = world.random_source.choice(world.daemons)
    seconds = world.random_source.uniform(0.3, 3.5)
    daemon.harm(seconds + CONTACT_SECONDS)
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    daemon.send_signal(signal.SIGCONT)


async def reload(world: World) -> None:
    """Change a daemon's settings, with or without a signal."""
    daemon = world.random_source.choice(world.daemons)
    daemon.write_settings(world.random_source.choice(["info", "debug"]))
    if world.random_source.random() < 0.5:
        daemon.send_signal(signal.SIGHUP)


async def turn_away(world: World) -> None:
    """Let the store turn one daemon away; the others pass on what it misses."""
    door = world.random_source.choice(world.doors)
    door.shut()
    await asyncio.sleep(world.random_source.uniform(0.5, 5.0))
    door.open()


async def cut_store(world: World) -> None:
    """Disturb the path between one daemon and the store."""
    index = world.random_source.randrange(len(world.daemons))
    seconds = world.random_source.uniform(0.3, 4.0)
    proxy = world.store_proxies[index]
    # Silence is found out only after some seconds.
    world.daemons[index].harm(seconds + 2 * CONTACT_SECONDS)
    proxy.mode = world.random_source.choice([Mode.DELAY, Mode.SILENT, Mode.ONE_WAY, Mode.RESET])
    if proxy.mode is Mode.RESET:
        proxy.reset()
    await asyncio.sleep(seconds)
    proxy.mode = Mode.PASS


async def store_outage(world: World) -> None:
    """Let the store refuse all, lose the answers to writes, or forget its history."""
    choice = world.random_source.randrange(3)
    if choice == 0:
        world.store.forget_history()
        return
    if choice == 1:
        world.store.lose_writes += 2
        return
    seconds = world.random_source.uniform(0.3, 3.0)
    for daemon in world.daemons:
        daemon.harm(seconds + CONTACT_SECONDS)
    began = time.monotonic()
    world.outages.append((began, began + seconds))
    world.store.refuse = True
    await asyncio.sleep(seconds)
    world.store.refuse = False


async def disturb_endpoint(world: World) -> None:
    """Disturb the path to an endpoint."""
    present = [e for e in world.endpoints if e.left_at is None]
    proxy = world.proxy_by_endpoint[world.random_source.choice(present).id]
    proxy.mode = world.random_source.choice([Mode.DELAY, Mode.SILENT, Mode.ONE_WAY, Mode.RESET])
    if proxy.mode is Mode.RESET:
        proxy.reset()
    await asyncio.sleep(world.random_source.uniform(0.2, 2.0))
    proxy.mode = Mode.PASS


async def spoil_endpoint(world: World) -> None:
    """Let an endpoint fail its requests in its own way."""
    engines = [e for e in world.engines if e.left_at is None]
    desks = [d for d in world.desks if d.left_at is None]
    endpoint: Endpoint = world.random_source.choice([*engines, *desks])
    faults = ["torn", "dark"] if endpoint in engines else ["full", "answer lost", "error"]
    endpoint.fault = world.random_source.choice(faults)
    await asyncio.sleep(world.random_source.uniform(0.2, 2.0))
    endpoint.fault = ""


async def replace_endpoint(world: World) -> None:
    """Start an endpoint and let another leave, announced or not."""
    desks = [d for d in world.desks if d.left_at is None]
    engines = [e for e in world.engines if e.left_at is None]
    candidates: list[Endpoint] = []
    if world.random_source.random() < 0.6:
        await world.add_desk()
        candidates += desks if len(desks) >= MIN_DESKS else []
    else:
        await world.add_engine()
        candidates += engines if len(engines) >= MIN_ENGINES else []
    if not candidates:
        return
    leaving = world.random_source.choice(candidates)
    if world.random_source.random() < 0.5:
        leaving.register("draining")
        await asyncio.sleep(LEAVE_SECONDS + 1.5)
        leaving.remove()
    else:
        leaving.remove()


async def configure(world: World) -> None:
    """Publish a configuration, at times several in a row."""
    for _ in range(world.random_source.choice([1, 1, 3])):
        world.publish(with_extra=world.random_source.random() < 0.5)
        await asyncio.sleep(world.random_source.uniform(0.05, 0.4))


FAULTS: list[Callable[[World], Coroutine[None, None, None]]] = [
    kill,
    terminate,
    pause,
    reload,
    turn_away,
    cut_store,
    store_outage,
    disturb_endpoint,
    spoil_endpoint,
    replace_endpoint,
    replace_endpoint,
    configure,
    configure,
]
