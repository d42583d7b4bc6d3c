"""Faults injected from outside, chosen from a seed; they may overlap and repeat."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine

from ragwortpaddle_standins.relay_platform import Endpoint

from soak._installation import DISTURBANCE_GRACE_SECONDS, MAX_WITHDRAWAL_LAG_SECONDS, Installation
from soak._proxy import Cut, Mode

MIN_SERVICES = 2
MIN_ENGINES = 4
MAX_CUT_SECONDS = 8.0


async def kill(installation: Installation) -> None:
    """Kill a daemon and start it again."""
    daemon = installation.random_source.choice(installation.daemons)
    daemon.mark_disturbed(DISTURBANCE_GRACE_SECONDS + 4.0)
    await daemon.restart(signal.SIGKILL)


async def terminate(installation: Installation) -> None:
    """Stop a daemon gracefully and start it again."""
    daemon = installation.random_source.choice(installation.daemons)
    daemon.mark_disturbed(DISTURBANCE_GRACE_SECONDS + 9.0)
    await daemon.restart(signal.SIGTERM)


async def suspend(installation: Installation) -> None:
    """Suspend a daemon with SIGSTOP for a random time, then resume it."""
    daemon = installation.random_source.choice(installation.daemons)
    seconds = installation.random_source.uniform(0.3, 3.5)
    daemon.mark_disturbed(seconds + DISTURBANCE_GRACE_SECONDS)
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    daemon.send_signal(signal.SIGCONT)


async def change_settings(installation: Installation) -> None:
    """Rewrite the settings file of a daemon, with or without sending SIGHUP."""
    daemon = installation.random_source.choice(installation.daemons)
    daemon.write_settings(installation.random_source.choice(["info", "debug"]))
    if installation.random_source.random() < 0.5:
        daemon.send_signal(signal.SIGHUP)


async def reject_at_store(installation: Installation) -> None:
    """Let the store reject one daemon, which then gets the changes it misses from its peers."""
    frontend = installation.random_source.choice(installation.store_frontends)
    frontend.start_rejecting()
    await asyncio.sleep(installation.random_source.uniform(0.5, 5.0))
    frontend.stop_rejecting()


async def disturb_store_link(installation: Installation) -> None:
    """Disturb the network link between one daemon and the store."""
    index = installation.random_source.randrange(len(installation.daemons))
    seconds = installation.random_source.uniform(0.3, 4.0)
    proxy = installation.store_proxies[index]
    # The daemon detects a connection without responses only after some seconds.
    installation.daemons[index].mark_disturbed(seconds + 2 * DISTURBANCE_GRACE_SECONDS)
    proxy.mode = installation.random_source.choice(
        [Mode.DELAY, Mode.DROP, Mode.DROP_RESPONSES, Mode.RESET]
    )
    if proxy.mode is Mode.RESET:
        proxy.reset()
    await asyncio.sleep(seconds)
    proxy.mode = Mode.FORWARD


async def disturb_store(installation: Installation) -> None:
    """Make the store unavailable, lose write responses, or discard the change history."""
    choice = installation.random_source.randrange(3)
    if choice == 0:
        installation.store.compact_history()
        return
    if choice == 1:
        installation.store.write_responses_to_lose += 2
        return
    seconds = installation.random_source.uniform(0.3, 3.0)
    for daemon in installation.daemons:
        daemon.mark_disturbed(seconds + DISTURBANCE_GRACE_SECONDS)
    started_at = time.monotonic()
    installation.store_outages.append((started_at, started_at + seconds))
    installation.store.unavailable = True
    await asyncio.sleep(seconds)
    installation.store.unavailable = False


async def restore_store(installation: Installation) -> None:
    """Restore the store from a copy, after an outage; later, others write their objects again."""
    store = installation.store
    copy = store.copy()
    await asyncio.sleep(installation.random_source.uniform(0.5, 6.0))
    outage_seconds = installation.random_source.uniform(0.0, 2.0)
    rewrite_seconds = installation.random_source.uniform(0.0, 2.0)
    for daemon in installation.daemons:
        daemon.mark_disturbed(outage_seconds + rewrite_seconds + DISTURBANCE_GRACE_SECONDS)
    started_at = time.monotonic()
    ended_at = started_at + outage_seconds + rewrite_seconds
    installation.store_outages.append((started_at, ended_at))
    store.unavailable = True
    await asyncio.sleep(outage_seconds)
    replaced = store.restore(copy)
    store.unavailable = False
    await asyncio.sleep(rewrite_seconds)
    store.rewrite(replaced)
    # What a restore replaced may have come from the copy of another one that overlaps with it.
    for endpoint in installation.endpoints:
        if endpoint.removed:
            store.remove("servers", endpoint.id)


async def disturb_endpoint_link(installation: Installation) -> None:
    """Disturb the network link to an endpoint."""
    active = [e for e in installation.endpoints if e.withdrawn_at is None]
    proxies = installation.proxies_by_endpoint[installation.random_source.choice(active).id]
    mode = installation.random_source.choice(
        [Mode.DELAY, Mode.DROP, Mode.DROP_RESPONSES, Mode.RESET]
    )
    for proxy in proxies:
        proxy.mode = mode
        if mode is Mode.RESET:
            proxy.reset()
    await asyncio.sleep(installation.random_source.uniform(0.2, 2.0))
    for proxy in proxies:
        proxy.mode = Mode.FORWARD


async def cut_off_daemons(installation: Installation, min_seconds: float = 1.0) -> None:
    """Cut one or two daemons off from all endpoints; all others still reach them."""
    count = installation.random_source.choice([1, 2])
    daemons = [
        daemon
        for daemon in installation.random_source.sample(installation.daemons, count)
        if daemon.cut is None
    ]
    cut = installation.random_source.choice(list(Cut))
    seconds = installation.random_source.uniform(min_seconds, MAX_CUT_SECONDS)
    for daemon in daemons:
        print(f"         {daemon.name} {cut} for {seconds:.2f} s", flush=True)
        daemon.start_cut(cut)
    await asyncio.sleep(seconds)
    for daemon in daemons:
        await daemon.end_cut()


async def fail_endpoint_requests(installation: Installation) -> None:
    """Make an endpoint fail its requests with a fault of its type."""
    engines = [e for e in installation.engines if e.withdrawn_at is None]
    services = [s for s in installation.services if s.withdrawn_at is None]
    endpoint: Endpoint = installation.random_source.choice([*engines, *services])
    faults = ["torn", "dark"] if endpoint in engines else ["full", "answer lost", "error"]
    endpoint.fault = installation.random_source.choice(faults)
    await asyncio.sleep(installation.random_source.uniform(0.2, 2.0))
    endpoint.fault = ""


async def replace_endpoint(installation: Installation) -> None:
    """Start an endpoint and remove another of its type, with or without draining it first."""
    services = [s for s in installation.services if s.withdrawn_at is None]
    engines = [e for e in installation.engines if e.withdrawn_at is None]
    candidates: list[Endpoint] = []
    if installation.random_source.random() < 0.6:
        await installation.add_service()
        candidates += services if len(services) >= MIN_SERVICES else []
    else:
        await installation.add_engine()
        candidates += engines if len(engines) >= MIN_ENGINES else []
    if not candidates:
        return
    withdrawn = installation.random_source.choice(candidates)
    if installation.random_source.random() < 0.5:
        withdrawn.register("draining")
        await asyncio.sleep(MAX_WITHDRAWAL_LAG_SECONDS + 1.5)
        withdrawn.remove()
    else:
        withdrawn.remove()


async def publish_configuration(installation: Installation) -> None:
    """Publish one configuration or several in a row."""
    for _ in range(installation.random_source.choice([1, 1, 3])):
        installation.publish(with_optional_route=installation.random_source.random() < 0.5)
        await asyncio.sleep(installation.random_source.uniform(0.05, 0.4))


# A fault that is listed twice is chosen twice as often.
FAULTS: list[Callable[[Installation], Coroutine[None, None, None]]] = [
    kill,
    terminate,
    suspend,
    change_settings,
    reject_at_store,
    disturb_store_link,
    disturb_store,
    restore_store,
    disturb_endpoint_link,
    cut_off_daemons,
    fail_endpoint_requests,
    replace_endpoint,
    replace_endpoint,
    publish_configuration,
    publish_configuration,
]
# An endpoint may break off requests during these faults and shortly after.
BREAKING_FAULTS = (disturb_endpoint_link, fail_endpoint_requests)
# These disturb the service of all daemons.
SHARED_FAULTS = (
    *BREAKING_FAULTS,
    reject_at_store,
    disturb_store,
    restore_store,
    replace_endpoint,
)
