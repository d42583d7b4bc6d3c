"""Bounds the work that failures cause, so that recovery does not become the next outage."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

MAX_PREFILLS = 16
RETRY_FRACTION = 0.1
RETRY_BURST = 10.0


class RecoveryGate:
    """Admits few repeated prefills at a time, and crash suspects one by one."""

    def __init__(self) -> None:
        self._prefills = asyncio.Semaphore(MAX_PREFILLS)
        self._suspect = asyncio.Lock()

    @asynccontextmanager
    async def place(self, *, repeated: bool, suspect: bool) -> AsyncIterator[None]:
        """Hold a place for a prefill; a first attempt needs none."""
        if suspect:
            async with self._suspect:
                yield
        elif repeated:
            async with self._prefills:
                yield
        else:
            yield


class RetryBudget:
    """Allows each team retries as a fraction of its requests."""

    def __init__(self) -> None:
        self._allowance_by_team: defaultdict[str, float] = defaultdict(lambda: RETRY_BURST)

    def note_request(self, team: str) -> None:
        """Earn a fraction of a retry."""
        earned = self._allowance_by_team[team] + RETRY_FRACTION
        self._allowance_by_team[team] = min(RETRY_BURST, earned)

    def spend(self, team: str) -> bool:
        """Take a retry if there is one."""
        if self._allowance_by_team[team] < 1.0:
            return False
        self._allowance_by_team[team] -= 1.0
        return True
