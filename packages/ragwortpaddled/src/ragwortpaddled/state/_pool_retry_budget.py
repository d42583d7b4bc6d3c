"""Limits retries over all daemons together.

Load pattern: many endpoints fail at once and every daemon would retry all its requests. Each daemon
may use an equal share of the constant part of the budget, plus a fraction of its own requests. A
daemon whose share is used up borrows what others do not need.

The sum holds whoever is cut off: a loan counts against the lender's share from the moment at which
it is granted, whether its reply arrives or not, until no window can contain its use any more.
"""

import math
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Callers measure the budget over their own windows, which differ by the requests in flight.
MAX_BUDGET_UTILIZATION = 0.7
# Of a share. A request that an endpoint may have run loses more by a refusal than another one.
BEGUN_REQUESTS_SHARE = 0.25
LOW_RETRIES = 2.0  # a daemon that has fewer left borrows before it is out of retries
LOAN_SECONDS = 2.0  # over twice the longest interval between two checks of a silent stream

ShortageListener = Callable[[str, bool], None]


@dataclass(frozen=True, slots=True)
class RetryBudgetBounds:
    """The retries that a pool may get per window, summed over all daemons.

    The limit is ``base_retries`` plus ``ratio`` times the requests of the window.
    """

    ratio: float = 0.2
    base_retries: float = 200.0
    window_seconds: float = 10.0


@dataclass(slots=True)
class _Loan:
    """Retries of another daemon's share; ``begun`` reserves them for requests that have begun."""

    count: int
    expires_at: float
    begun: bool


@dataclass(frozen=True, slots=True, eq=False)
class Retry:
    """A consumed retry and where it was taken from; no loan means the daemon's own share."""

    pool: str
    taken_at: float
    loan: _Loan | None = None


@dataclass(slots=True)
class _PoolUse:
    """What has been used of one pool's budget; times are in seconds on the monotonic clock."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)
    lent: deque[tuple[float, int]] = field(default_factory=deque)  # counted until, retries
    loans: list[_Loan] = field(default_factory=list)


class PoolRetryBudget:
    """The retry budget of one daemon, by pool.

    A request has begun once an endpoint may have run it. Requests that have not begun cannot use
    the last part of a share.
    """

    def __init__(self, bounds: RetryBudgetBounds, random_source: random.Random) -> None:
        self.bounds = bounds
        # With many daemons, the share of each is below one retry, and rounding every share down
        # would leave most of the budget unused. So each daemon rounds at a random threshold, which
        # keeps the expected sum.
        self._min_remaining = random_source.random()
        self._daemon_count: int | None = None
        self._settled = False
        self._former_counts: deque[tuple[float, int]] = deque()  # in force until, daemons
        self._use_by_pool: dict[str, _PoolUse] = {}
        self._shortage_listeners: list[ShortageListener] = []

    @property
    def daemon_count(self) -> int | None:
        """Return the number of daemons that share the budget, None while it is not known.

        A lower number takes effect once no window contains retries of the daemons that have left.
        """
        now = time.monotonic()
        while self._former_counts and self._former_counts[0][0] < now:
            self._former_counts.popleft()
        if self._daemon_count is None:
            return None
        return max([self._daemon_count, *(count for _, count in self._former_counts)])

    def set_daemon_count(self, count: int, *, settled: bool = True) -> None:
        """Set the number of daemons that share the budget, this one included.

        It is not settled while daemons that start at the same time may still be missing from it.
        """
        self._settled = settled
        if self._daemon_count is not None and self._daemon_count > count:
            until = time.monotonic() + self.bounds.window_seconds + LOAN_SECONDS
            self._former_counts.append((until, self._daemon_count))
        self._daemon_count = count

    @property
    def can_borrow(self) -> bool:
        """Return whether a shortage may end by a loan, since other daemons share the budget."""
        return (self.daemon_count or 0) > 1

    def add_shortage_listener(self, listener: ShortageListener) -> None:
        """Call a listener with the pool, and whether the request has begun, if retries run out."""
        self._shortage_listeners.append(listener)

    def report_shortage(self, pool: str, *, begun: bool) -> None:
        """Report that a request requires a retry and found none."""
        for listener in self._shortage_listeners:
            listener(pool, begun)

    def record_request(self, pool: str) -> None:
        """Record a request of a caller, which adds to the budget."""
        self._use(pool).requests.append(time.monotonic())

    def remaining(self, pool: str) -> float:
        """Return the retries that remain in the current window, borrowed ones included."""
        use = self._use(pool)
        now = time.monotonic()
        return self._own_remaining(use, now) + sum(loan.count for loan in _valid_loans(use, now))

    def available(self, pool: str, *, begun: bool) -> bool:
        """Return whether the budget allows a retry."""
        use = self._use(pool)
        now = time.monotonic()
        return (
            _find_loan(use, now, begun=begun) is not None
            or self._own_units(use, now, begun=begun) > 0
        )

    def try_acquire(self, pool: str, *, begun: bool) -> Retry | None:
        """Consume one retry; return it, or None if the budget does not allow it."""
        use = self._use(pool)
        now = time.monotonic()
        retry = None
        # Loans first: the lender has counted them already, and they expire soon.
        loan = _find_loan(use, now, begun=begun)
        if loan is not None:
            loan.count -= 1
            retry = Retry(pool, now, loan)
        elif self._own_units(use, now, begun=begun) > 0:
            use.retries.append(now)
            retry = Retry(pool, now)
        if self._usable(use, now, begun=begun) < LOW_RETRIES:
            self.report_shortage(pool, begun=begun)
        return retry

    def give_back(self, retry: Retry) -> None:
        """Return a retry that was not sent to where it was taken from."""
        if retry.loan is not None:
            retry.loan.count += 1
            return
        retries = self._use(retry.pool).retries
        if retry.taken_at in retries:
            retries.remove(retry.taken_at)

    def lend(self, pool: str, count: int, *, begun: bool) -> int:
        """Lend up to ``count`` retries to another daemon; return how many.

        The last part of the share is lent for requests that have begun only.
        """
        use = self._use(pool)
        now = time.monotonic()
        lent = min(count, self._own_units(use, now, begun=begun))
        if lent > 0:
            use.lent.append((now + LOAN_SECONDS + self.bounds.window_seconds, lent))
        return lent

    def add_loan(self, pool: str, count: int, asked_at: float, *, begun: bool) -> bool:
        """Add retries that another daemon lent; return False if the loan has expired.

        ``asked_at`` is the monotonic time at which the request for the loan was sent. The lender
        granted it later, so both agree on its end at the latest.
        """
        expires_at = asked_at + LOAN_SECONDS
        if expires_at <= time.monotonic():
            return False
        self._use(pool).loans.append(_Loan(count, expires_at, begun))
        return True

    def borrowed(self, pool: str, *, begun: bool) -> int:
        """Return the borrowed retries that a request can use now."""
        loans = _valid_loans(self._use(pool), time.monotonic())
        return sum(loan.count for loan in loans if begun or not loan.begun)

    def _use(self, pool: str) -> _PoolUse:
        return self._use_by_pool.setdefault(pool, _PoolUse())

    def _allowed(self, use: _PoolUse, now: float) -> float:
        requests = _count_recent(use.requests, now - self.bounds.window_seconds)
        return (self.bounds.ratio * requests + self._base_share()) * MAX_BUDGET_UTILIZATION

    def _base_share(self) -> float:
        """Return this daemon's share of the constant part of the budget."""
        count = self.daemon_count
        if count is None:
            return 0.0
        if self._settled:
            return self.bounds.base_retries / count
        # Of daemons that start together, the first to register sees only itself, the next one two,
        # and so on. The sum of 1 / (n * (n + 1)) over all n is 1.
        return self.bounds.base_retries / (count * (count + 1))

    def _own_remaining(self, use: _PoolUse, now: float) -> float:
        retries = _count_recent(use.retries, now - self.bounds.window_seconds)
        while use.lent and use.lent[0][0] < now:
            use.lent.popleft()
        return self._allowed(use, now) - retries - sum(count for _, count in use.lent)

    def _own_units(self, use: _PoolUse, now: float, *, begun: bool) -> int:
        """Return the whole retries that a request can use of the daemon's own share."""
        remaining = self._own_remaining(use, now)
        if not begun:
            remaining -= BEGUN_REQUESTS_SHARE * self._allowed(use, now)
        return max(0, math.floor(remaining - self._min_remaining) + 1)

    def _usable(self, use: _PoolUse, now: float, *, begun: bool) -> int:
        loans = sum(loan.count for loan in _valid_loans(use, now) if begun or not loan.begun)
        return loans + self._own_units(use, now, begun=begun)


def _valid_loans(use: _PoolUse, now: float) -> list[_Loan]:
    use.loans = [loan for loan in use.loans if loan.expires_at > now]
    return use.loans


def _find_loan(use: _PoolUse, now: float, *, begun: bool) -> _Loan | None:
    """Return a loan with retries that a request can use; reserved ones first."""
    usable = [loan for loan in _valid_loans(use, now) if loan.count and (begun or not loan.begun)]
    return max(usable, key=lambda loan: (loan.begun, -loan.expires_at), default=None)


def _count_recent(times: deque[float], window_start: float) -> int:
    while times and times[0] < window_start:
        times.popleft()
    return len(times)
