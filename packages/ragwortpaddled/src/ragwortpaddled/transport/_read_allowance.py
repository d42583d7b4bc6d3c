"""Shares the event loop between connections whose messages arrive in many small pieces.

Load pattern: a peer that sends chunks of a few bytes without end. Parsing a chunk takes about the
same time whatever its size, so a bound on the bytes of a message does not bound the time that it
keeps the event loop from other connections.
"""

import asyncio
import logging
import time
from weakref import WeakKeyDictionary

# A stream of events of usual size stays below the earned share; a long body takes a few turns.
EARNED_SHARE = 0.02  # of the time that passes
MAX_ALLOWANCE_SECONDS = 0.0005  # many connections may use it in the same iteration of the loop
TURN_SECONDS = 0.002
LOGGED_TURNS = 50  # of one connection

logger = logging.getLogger(__name__)

_lock_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, asyncio.Lock] = WeakKeyDictionary()


class ReadAllowance:
    """The parsing time that one connection may use before it has to wait for its turn.

    Connections that have used up their allowance take turns, in the order in which they ask, at
    most one in each iteration of the event loop.
    """

    def __init__(self, source: str) -> None:
        """``source`` is the peer's address, for the log."""
        self._source = source
        self._turns = 0
        self._left_seconds = MAX_ALLOWANCE_SECONDS
        self._updated_at = time.perf_counter()

    @property
    def used_up(self) -> bool:
        """Return whether the connection must take a turn before it parses more."""
        return self._left_seconds <= 0

    def spend(self, started_at: float) -> None:
        """Deduct the time since ``started_at``, on the clock of ``time.perf_counter``."""
        now = time.perf_counter()
        earned_seconds = (now - self._updated_at) * EARNED_SHARE
        max_seconds = max(MAX_ALLOWANCE_SECONDS, self._left_seconds)
        left_seconds = min(max_seconds, self._left_seconds + earned_seconds)
        self._left_seconds = left_seconds - (now - started_at)
        self._updated_at = now

    async def take_turn(self) -> None:
        """Wait until other tasks and the connections that asked before have run."""
        async with _turn_lock():
            await asyncio.sleep(0)
        self._turns += 1
        if self._turns == LOGGED_TURNS:
            fields = {"source": self._source, "turns": self._turns}
            logger.info("connection delayed for its many small pieces", extra={"fields": fields})
        self._left_seconds = TURN_SECONDS
        self._updated_at = time.perf_counter()


def _turn_lock() -> asyncio.Lock:
    loop = asyncio.get_running_loop()
    lock = _lock_by_loop.get(loop)
    if lock is None:
        lock = _lock_by_loop[loop] = asyncio.Lock()
    return lock
