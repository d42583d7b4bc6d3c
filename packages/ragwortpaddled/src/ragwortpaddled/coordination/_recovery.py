"""Limits retries and repeated prefills, so that recovery does not cause overload."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

MAX_RETRY_PREFILLS = 16
RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0


class RecoveryLimiter:
    """Limits concurrent retry prefills, and those of suspected poison requests to one at a time."""

    def __init__(self) -> None:
        self._retry_prefills = asyncio.Semaphore(MAX_RETRY_PREFILLS)
        self._suspect_lock = asyncio.Lock()

    @asynccontextmanager
    async def prefill_slot(self, *, is_retry: bool, is_suspect: bool) -> AsyncIterator[None]:
        """Hold a slot for a prefill; a first attempt that is not suspect is not limited."""
        if is_suspect:
            async with self._suspect_lock:
                yield
        elif is_retry:
            async with self._retry_prefills:
                yield
        else:
            yield


class RetryBudget:
    """The retry budget of each team, which grows by a fraction of a retry with each request."""

    def __init__(self) -> None:
        self._retries_left_by_team: defaultdict[str, float] = defaultdict(lambda: MAX_SAVED_RETRIES)

    def record_request(self, team: str) -> None:
        """Add a fraction of a retry to the budget of a team, up to the maximum."""
        retries_left = self._retries_left_by_team[team] + RETRIES_PER_REQUEST
        self._retries_left_by_team[team] = min(MAX_SAVED_RETRIES, retries_left)

    def try_acquire(self, team: str) -> bool:
        """Take a retry from the budget of a team; return whether there was one."""
        if self._retries_left_by_team[team] < 1.0:
            return False
        self._retries_left_by_team[team] -= 1.0
        return True
