"""Decides which requests a daemon that is being stopped can still serve.

Load pattern: callers go on using open connections, and the balancer opens new ones for a while. A
request that is refused at once comes back at another VM; one that is cut off may be lost.
"""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Self

# Reserved at the end of the grace period for sending the last responses, for removing the daemon's
# entry meanwhile, and for the end of the process.
CLOSING_SHARE = 0.1
MAX_CLOSING_SECONDS = 0.8
SENDING_SHARE = 0.375  # of the time that is reserved
RELEASING_SHARE = 0.6  # likewise; the lease is given up at the start of the stop

PERCENTILE = 0.99
MIN_RESPONSES = 8  # a pool with fewer is unknown
MAX_RESPONSES = 512
MAX_POOLS = 1024


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """The steps of a planned stop; times are on the monotonic clock, in seconds."""

    connections_until: float  # the balancer may direct new connections here until then
    requests_until: float  # requests in flight are ended then
    responses_until: float  # connections whose responses are not sent are reset then
    releasing_seconds: float  # limit for removing the daemon's entry, from requests_until

    @property
    def sending_seconds(self) -> float:
        """Return the time for sending the last responses and closing the connections."""
        return self.responses_until - self.requests_until

    def abort_reason(self, now: float) -> str:
        """Return why a connection that is still open is ended."""
        return "end of the grace period" if now >= self.requests_until else "the daemon has stopped"

    @classmethod
    def create(cls, started_at: float, grace_seconds: float, balancer_lag_seconds: float) -> Self:
        """Divide a grace period."""
        closing_seconds = min(MAX_CLOSING_SECONDS, grace_seconds * CLOSING_SHARE)
        requests_until = started_at + grace_seconds - closing_seconds
        return cls(
            min(started_at + balancer_lag_seconds, requests_until),
            requests_until,
            requests_until + closing_seconds * SENDING_SHARE,
            closing_seconds * RELEASING_SHARE,
        )


class ResponseTimes:
    """How long recent responses took at this daemon, from a request's arrival, by pool."""

    def __init__(self) -> None:
        self._seconds_by_pool: OrderedDict[str, deque[float]] = OrderedDict()

    def record(self, pool: str, seconds: float) -> None:
        """Record a response."""
        recent = self._seconds_by_pool.setdefault(pool, deque(maxlen=MAX_RESPONSES))
        recent.append(seconds)
        self._seconds_by_pool.move_to_end(pool)
        if len(self._seconds_by_pool) > MAX_POOLS:
            self._seconds_by_pool.popitem(last=False)

    def high_seconds(self, pool: str) -> float | None:
        """Return a time that few responses of a pool exceed, None if the pool is unknown."""
        recent = sorted(self._seconds_by_pool.get(pool, ()))
        if len(recent) < MIN_RESPONSES:
            return None
        return recent[math.ceil(len(recent) * PERCENTILE) - 1]

    def can_serve(self, plan: DrainPlan, pool: str, now: float, deadline: float) -> bool:
        """Return whether a request is expected to end before requests in flight are ended."""
        if deadline <= plan.requests_until:
            return True
        seconds = self.high_seconds(pool)
        if seconds is None:
            return now < plan.connections_until
        return now + seconds <= plan.requests_until
