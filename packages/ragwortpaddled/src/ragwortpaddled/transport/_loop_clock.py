"""Time-outs that don't count pauses of the process.

Load pattern: a frozen VM, or one whose processor is busy. Timers fire before the process has read
the bytes that arrived during the pause, so a plain time-out takes sound peers for silent ones.
"""

import asyncio
import contextlib
import logging
import math
import time
from collections.abc import AsyncIterator, Iterable
from typing import Any
from weakref import WeakKeyDictionary

TICK_SECONDS = 0.05
MAX_TICK_DELAY_SECONDS = 0.02  # a tick that is later shows a pause
RECOVERY_SECONDS = 0.05  # to read what arrived during a pause
MIN_LOGGED_PAUSE_SECONDS = 0.25

logger = logging.getLogger(__name__)


class LoopClock:
    """The time in which the running event loop has run, in seconds; pauses aren't counted."""

    def __init__(self) -> None:
        self._paused_seconds = 0.0
        self._start_tick()

    def time(self) -> float:
        """Return the running time; only differences have a meaning."""
        return time.monotonic() - self.paused_seconds

    @property
    def paused_seconds(self) -> float:
        """Return the length of all pauses, one that has just ended included."""
        late_seconds = time.monotonic() - self._tick_due_at - MAX_TICK_DELAY_SECONDS
        return self._paused_seconds + max(0.0, late_seconds)

    def _start_tick(self) -> None:
        self._tick_due_at = time.monotonic() + TICK_SECONDS
        asyncio.get_running_loop().call_later(TICK_SECONDS, self._end_tick)

    def _end_tick(self) -> None:
        paused_seconds = self.paused_seconds
        pause_seconds = paused_seconds - self._paused_seconds
        self._paused_seconds = paused_seconds
        if pause_seconds >= MIN_LOGGED_PAUSE_SECONDS:
            fields = {"ms": int(pause_seconds * 1000)}
            logger.info("process paused", extra={"fields": fields})
        self._start_tick()


class _Countdown:
    """The rest of a time-out."""

    def __init__(self, seconds: float) -> None:
        self._clock = loop_clock()
        self._ends_at = self._clock.time() + seconds
        self._paused_seconds = self._clock.paused_seconds

    def left(self) -> float:
        """Return the remaining seconds, 0 at the end; a pause extends it at most once."""
        seconds = self._ends_at - self._clock.time()
        if seconds > 0:
            return seconds
        if self._clock.paused_seconds <= self._paused_seconds:
            return 0.0
        self._paused_seconds = float("inf")
        return RECOVERY_SECONDS


_clock_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, LoopClock] = WeakKeyDictionary()


def loop_clock() -> LoopClock:
    """Return the clock of the running event loop."""
    loop = asyncio.get_running_loop()
    clock = _clock_by_loop.get(loop)
    if clock is None:
        clock = _clock_by_loop[loop] = LoopClock()
    return clock


@contextlib.asynccontextmanager
async def running_timeout(seconds: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` if the body takes longer, like ``asyncio.timeout``, without pauses."""
    loop = asyncio.get_running_loop()
    countdown = _Countdown(seconds)
    timer: asyncio.TimerHandle | None = None
    async with asyncio.timeout(None) as timeout:

        def end_or_wait() -> None:
            nonlocal timer
            left = countdown.left()
            if left > 0:
                timer = loop.call_later(left, end_or_wait)
            else:
                timeout.reschedule(loop.time())

        timer = loop.call_later(seconds, end_or_wait)
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()


async def wait_running(futures: Iterable[asyncio.Future[Any]], seconds: float) -> None:
    """Wait until a future is done or the time is over, not counting pauses."""
    waited = list(futures)
    countdown = _Countdown(seconds)
    while not any(future.done() for future in waited) and (left := countdown.left()) > 0:
        timeout = left if math.isfinite(left) else None
        await asyncio.wait(waited, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
