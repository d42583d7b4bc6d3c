"""Limits retries over all daemons together, without coordination between them.

Load pattern: many endpoints fail at once and every daemon would retry all its requests. Each daemon
may use an equal share of the constant part of the budget, plus a fraction of its own requests.
"""

import random
import time
from collections import defaultdict, deque
from dataclasses import dataclass

# Callers measure the budget over their own windows, which differ by the requests in flight.
MAX_BUDGET_UTILIZATION = 0.7


@dataclass(frozen=True, slots=True)
class RetryBudgetBounds:
    """The retries that a pool may get per window, summed over all daemons.

    The limit is ``base_retries`` plus ``ratio`` times the requests of the window.
    """

    ratio: float = 0.2
    base_retries: float = 200.0
    window_seconds: float = 10.0


class PoolRetryBudget:
    """The retry budget of one daemon, by pool."""

    def __init__(self, bounds: RetryBudgetBounds, random_source: random.Random) -> None:
        self.bounds = bounds
        # With many daemons, the share of each is below one retry, and rounding every share down
        # would leave most of the budget unused. So each daemon rounds at a random threshold, which
        # keeps the expected sum.
        self._min_remaining = random_source.random()
        self.daemon_count = 1
        self._requests_by_pool: defaultdict[str, deque[float]] = defaultdict(deque)
        self._retries_by_pool: defaultdict[str, deque[float]] = defaultdict(deque)

    def record_request(self, pool: str) -> None:
        """Record a request of a caller, which adds to the budget."""
        self._requests_by_pool[pool].append(time.monotonic())

    def remaining(self, pool: str) -> float:
        """Return the retries that remain in the current window."""
        window_start = time.monotonic() - self.bounds.window_seconds
        requests = _count_recent(self._requests_by_pool[pool], window_start)
        retries = _count_recent(self._retries_by_pool[pool], window_start)
        allowed = self.bounds.ratio * requests + self.bounds.base_retries / self.daemon_count
        return allowed * MAX_BUDGET_UTILIZATION - retries

    def available(self, pool: str) -> bool:
        """Return whether the budget allows a retry."""
        return self.remaining(pool) >= self._min_remaining

    def try_acquire(self, pool: str) -> bool:
        """Consume one retry; return whether the budget allowed it."""
        if not self.available(pool):
            return False
        self._retries_by_pool[pool].append(time.monotonic())
        return True

    def give_back(self, pool: str) -> None:
        """Return the retry that was consumed last, because it was not sent."""
        if self._retries_by_pool[pool]:
            self._retries_by_pool[pool].pop()


def _count_recent(times: deque[float], window_start: float) -> int:
    while times and times[0] < window_start:
        times.popleft()
    return len(times)
