"""Bounds repeated sends over all daemons without talking to them.

Load pattern: many endpoints fail at once and each daemon would send everything again. Each daemon
takes its share of the fixed part, and the part that grows with the requests it has seen itself.
"""

import random
import time
from collections import defaultdict, deque
from dataclasses import dataclass

USED_SHARE = 0.7  # callers' own view of a window differs from ours by what is under way


@dataclass(frozen=True, slots=True)
class BudgetBounds:
    """How many sends beyond the first a pool may get in a window, summed over all daemons."""

    ratio: float = 0.2
    slack: float = 200.0
    window_seconds: float = 10.0


class SendBudget:
    """The repeated sends of one daemon by pool."""

    def __init__(self, bounds: BudgetBounds, random_source: random.Random) -> None:
        self.bounds = bounds
        # Where many daemons share a budget, whole sends of each would leave most of it unused. So
        # each may round its own part up, as often as keeps the sum.
        self._least_left = random_source.random()
        self.daemons = 1
        self._requests_by_pool: defaultdict[str, deque[float]] = defaultdict(deque)
        self._repeats_by_pool: defaultdict[str, deque[float]] = defaultdict(deque)

    def note_request(self, pool: str) -> None:
        """Count a caller's request."""
        self._requests_by_pool[pool].append(time.monotonic())

    def left(self, pool: str) -> float:
        """Return the repeated sends that are left in this window."""
        horizon = time.monotonic() - self.bounds.window_seconds
        requests = _recent(self._requests_by_pool[pool], horizon)
        repeats = _recent(self._repeats_by_pool[pool], horizon)
        allowed = self.bounds.ratio * requests + self.bounds.slack / self.daemons
        return allowed * USED_SHARE - repeats

    def spend(self, pool: str) -> bool:
        """Take a repeated send if there is one."""
        if self.left(pool) < self._least_left:
            return False
        self._repeats_by_pool[pool].append(time.monotonic())
        return True


def _recent(times: deque[float], horizon: float) -> int:
    while times and times[0] < horizon:
        times.popleft()
    return len(times)
