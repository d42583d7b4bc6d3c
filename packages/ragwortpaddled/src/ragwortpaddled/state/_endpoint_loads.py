"""What each endpoint carries now, as far as one daemon can tell.

Load pattern: several daemons that send to the same endpoints at once. Own work is known at once;
the others' is learned from the load that endpoints state in their responses, which is fresh on
the busiest ones.
"""

import time
from dataclasses import dataclass

SUSPECT_SECONDS = 1.0  # first exclusion; a crashed endpoint is back after some seconds
MAX_SUSPECT_SECONDS = 4.0
STATED_SECONDS = 2.0  # a stated load says little after the usual length of a generation


@dataclass(slots=True)
class EndpointLoad:
    """The load of one endpoint."""

    own: int = 0
    own_tokens: float = 0.0
    stated_others: int = 0
    stated_at: float = 0.0
    suspect_until: float = 0.0
    failures: int = 0

    def others(self, now: float) -> float:
        """Return the requests of other daemons, fading with the age of what is known."""
        age = now - self.stated_at
        return self.stated_others * max(0.0, 1.0 - age / STATED_SECONDS)

    def running(self, now: float) -> float:
        """Return the requests that the endpoint carries."""
        return self.own + self.others(now)

    def suspect(self, now: float) -> bool:
        """Tell whether recent failures speak against the endpoint."""
        return now < self.suspect_until


class EndpointLoads:
    """The loads by endpoint id."""

    def __init__(self) -> None:
        self.by_id: dict[str, EndpointLoad] = {}

    def of(self, endpoint_id: str) -> EndpointLoad:
        """Return the load of an endpoint, which may not have been used yet."""
        load = self.by_id.get(endpoint_id)
        if load is None:
            load = self.by_id[endpoint_id] = EndpointLoad()
        return load

    def begin(self, endpoint_id: str, tokens: float) -> None:
        """Count a request that is sent."""
        load = self.of(endpoint_id)
        load.own += 1
        load.own_tokens += tokens

    def end(self, endpoint_id: str, tokens: float) -> None:
        """Count a request that ended."""
        load = self.of(endpoint_id)
        load.own -= 1
        load.own_tokens -= tokens

    def state(self, endpoint_id: str, running: int) -> None:
        """Take in the load that an endpoint stated, own requests included."""
        load = self.of(endpoint_id)
        load.stated_others = max(0, running - load.own)
        load.stated_at = time.monotonic()

    def fail(self, endpoint_id: str) -> float:
        """Avoid an endpoint for a while, longer each time; return the seconds."""
        load = self.of(endpoint_id)
        load.failures += 1
        seconds = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * 2 ** (load.failures - 1))
        load.suspect_until = time.monotonic() + seconds
        return seconds

    def succeed(self, endpoint_id: str) -> bool:
        """Forget the failures of an endpoint; return whether there were any."""
        load = self.of(endpoint_id)
        had_failed = load.failures > 0
        load.failures = 0
        load.suspect_until = 0.0
        return had_failed

    def forget(self, known_ids: set[str]) -> None:
        """Drop idle endpoints that are no longer listed."""
        for endpoint_id, load in list(self.by_id.items()):
            if endpoint_id not in known_ids and load.own == 0:
                del self.by_id[endpoint_id]
