"""What must hold, judged from what callers and endpoints saw."""

from collections import defaultdict

from ragwortpaddle_standins.users_platform import EVENTS, attempt_id_of

from soak._callers import DEADLINE_SECONDS, Sighting
from soak._world import CONTACT_SECONDS, EXTRA, LEAVE_SECONDS, World

APPLY_SECONDS = 2.0  # the platform's bound on a configuration that is not in force yet
ANSWER_SLACK_SECONDS = 0.5  # beyond the deadline
NOT_RUN_STATUSES = (408, 421, 429, 503)


def judge(world: World, sightings: list[Sighting]) -> list[str]:
    """Return a line for each promise that was broken."""
    runs = _runs(world)
    faults = []
    for sighting in sightings:
        faults += _answer_faults(world, sighting, runs[sighting.attempt_id])
        faults += _configuration_faults(world, sighting)
    faults += _leaving_faults(world, sightings)
    faults += [f"path with a wrong layer: {p}" for e in world.engines for p in e.wrong_paths]
    for daemon in world.daemons:
        faults += [f"{daemon.name} ended by itself or late: {end}" for end in daemon.own_ends]
        if b"Traceback" in daemon.log.read_bytes():
            faults.append(f"{daemon.name} logged a traceback")
    return faults


def _runs(world: World) -> defaultdict[str, list[str]]:
    """Return the endpoints at which each attempt arrived."""
    runs: defaultdict[str, list[str]] = defaultdict(list)
    for endpoint in world.endpoints:
        for request in endpoint.received:
            runs[attempt_id_of(request)].append(endpoint.id)
    return runs


def _answer_faults(world: World, sighting: Sighting, ran_at: list[str]) -> list[str]:
    faults = []
    name = f"{sighting.kind} {sighting.attempt_id} at {sighting.daemon.name}"
    if sighting.kind in ("once", "book"):
        if len(ran_at) > 1:
            faults.append(f"{name} ran at {ran_at}")
        if ran_at and sighting.status in NOT_RUN_STATUSES:
            faults.append(f"{name} was refused with {sighting.status} and ran at {ran_at}")
    if sighting.kind in ("ask", "once") and sighting.status == 200:
        whole = sighting.whole and sighting.body != EVENTS
        if whole or not EVENTS.startswith(sighting.body):
            faults.append(f"{name} got the events {sighting.body!r}")
    if sighting.kind in ("look", "book") and sighting.status == 200 and sighting.whole:
        answering = sighting.body.removeprefix(b"answer of ").decode()
        if answering not in ran_at:
            faults.append(f"{name} got the answer of {answering}, but ran at {ran_at}")
    if sighting.kind != EXTRA and sighting.status in (401, 403, 404):
        faults.append(f"{name} was denied with {sighting.status}")
    seconds = sighting.ended_at - sighting.sent_at
    calm = sighting.daemon.harmed_until < sighting.sent_at
    if calm and seconds > DEADLINE_SECONDS + ANSWER_SLACK_SECONDS:
        faults.append(f"{name} had no answer after {seconds:.2f} s: {sighting.reason}")
    return faults


def _configuration_faults(world: World, sighting: Sighting) -> list[str]:
    """Judge a request on the route that comes and goes."""
    calm = sighting.daemon.harmed_until < sighting.sent_at
    if sighting.kind != EXTRA or not calm or not sighting.whole:
        return []
    before = [(at, present) for at, present in world.extra_since if at < sighting.ended_at]
    settled = [present for at, present in before if at < sighting.sent_at - APPLY_SECONDS]
    recent = [present for at, present in before if at >= sighting.sent_at - APPLY_SECONDS]
    allowed = {*settled[-1:], *recent}
    if (sighting.status != 404) in allowed:
        return []
    name = f"{sighting.attempt_id} at {sighting.daemon.name}"
    return [f"{name} got {sighting.status}, though the route's presence was {allowed}"]


def _was_unstable(world: World, at: float) -> bool:
    """Tell whether the store was out, or had been lately; what it accepted then binds nobody."""
    return any(began <= at <= ended + CONTACT_SECONDS for began, ended in world.outages)


def _leaving_faults(world: World, sightings: list[Sighting]) -> list[str]:
    daemon_by_attempt = {s.attempt_id: s.daemon for s in sightings}
    faults = []
    for endpoint in world.endpoints:
        if endpoint.left_at is None or _was_unstable(world, endpoint.left_at):
            continue
        for request, at in zip(endpoint.received, endpoint.received_at, strict=True):
            late = at - endpoint.left_at
            attempt_id = attempt_id_of(request)
            daemon = daemon_by_attempt.get(attempt_id)
            if late > LEAVE_SECONDS and daemon is not None and daemon.harmed_until < at:
                faults.append(f"{daemon.name} sent {attempt_id} to {endpoint.id} {late:.2f} s late")
    return faults
