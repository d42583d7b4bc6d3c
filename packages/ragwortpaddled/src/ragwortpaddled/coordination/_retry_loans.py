"""Borrows retries from peers when this daemon's share of the retry budget runs out."""

import asyncio
import logging
import math
import random
import time
from collections import defaultdict, deque
from collections.abc import Callable, Mapping

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._peer_links import PeerLinks
from ragwortpaddled.errors import PeerRefusedError, TransportError
from ragwortpaddled.protocol import BorrowRetries, RetriesLent
from ragwortpaddled.state import LOAN_SECONDS, PoolRetryBudget

MAX_LENDERS_ASKED = 4  # in one round
MAX_RETRIES_ASKED = 16  # in one round; loans that are not used are lost for a window
LOAN_TIMEOUT_SECONDS = 0.3
MIN_ROUND_INTERVAL_SECONDS = 0.1
EMPTY_ROUND_INTERVAL_SECONDS = 0.5  # after a round in which no peer lent anything
REFUSAL_PASS_OVER_SECONDS = 10.0  # a peer of a version without loans logs an error each time
SILENCE_PASS_OVER_SECONDS = 1.0
REFUSAL_LOG_INTERVAL_SECONDS = 1.0

logger = logging.getLogger(__name__)


class RetryLoans:
    """Loans of retries between this daemon and its peers.

    ``peer_addresses`` returns the address of each peer that is not known to be unreachable.
    """

    def __init__(
        self,
        retry_budget: PoolRetryBudget,
        links: PeerLinks,
        peer_addresses: Callable[[], Mapping[str, str]],
        name: str,
        random_source: random.Random,
    ) -> None:
        self._retry_budget = retry_budget
        self._links = links
        self._peer_addresses = peer_addresses
        self._name = name
        self._random = random_source
        self._shortages_by_kind: defaultdict[tuple[str, bool], deque[float]] = defaultdict(deque)
        self._passed_over_until_by_name: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._next_round_at_by_kind: dict[tuple[str, bool], float] = {}
        self._closed = False
        self._refusals = 0
        self._refusals_logged_at = 0.0
        retry_budget.add_shortage_listener(self._on_shortage)

    def close(self) -> None:
        """Stop borrowing."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()

    def lend(self, message: BorrowRetries) -> RetriesLent:
        """Lend what this daemon can spare to a peer."""
        lent = self._retry_budget.lend(message.pool, message.count, begun=message.begun)
        if lent:
            telemetry.retry_loans.add(lent, {"side": "lent"})
            self._log_lending("retries lent", message, lent=lent)
            return RetriesLent(lent)
        self._refusals += 1
        now = time.monotonic()
        if now - self._refusals_logged_at >= REFUSAL_LOG_INTERVAL_SECONDS:
            self._log_lending("no retries to lend", message, refusals=self._refusals)
            self._refusals = 0
            self._refusals_logged_at = now
        return RetriesLent(0)

    def _log_lending(self, event: str, message: BorrowRetries, **fields: object) -> None:
        fields |= {
            "pool": message.pool,
            "begun": message.begun,
            "asked": message.count,
            "peer": message.name,
            "remaining": round(self._retry_budget.remaining(message.pool), 1),
        }
        logger.info(event, extra={"fields": fields})

    def _on_shortage(self, pool: str, begun: bool) -> None:
        self._shortages_by_kind[pool, begun].append(time.monotonic())
        if not self._closed and (self._task is None or self._task.done()):
            self._task = asyncio.create_task(self._borrow())

    async def _borrow(self) -> None:
        """Hold rounds, one at a time, while requests are short of retries."""
        try:
            while kinds := self._short_kinds():
                now = time.monotonic()
                due = [k for k in kinds if self._next_round_at_by_kind.get(k, 0.0) <= now]
                if not due:
                    await asyncio.sleep(MIN_ROUND_INTERVAL_SECONDS)
                    continue
                lent = await self._hold_round(*due[0])
                seconds = MIN_ROUND_INTERVAL_SECONDS if lent else EMPTY_ROUND_INTERVAL_SECONDS
                self._next_round_at_by_kind[due[0]] = time.monotonic() + seconds
        except Exception:
            logger.exception("borrowing retries failed")

    def _short_kinds(self) -> list[tuple[str, bool]]:
        """Return the pools and kinds of request to borrow for; requests that have begun first."""
        for kind in list(self._shortages_by_kind):
            if self._wanted(*kind) <= 0:
                del self._shortages_by_kind[kind]
        return sorted(self._shortages_by_kind, key=lambda kind: not kind[1])

    def _wanted(self, pool: str, begun: bool) -> int:
        """Return how many retries recent requests would have used beyond those borrowed."""
        shortages = self._shortages_by_kind[pool, begun]
        oldest = time.monotonic() - LOAN_SECONDS
        while shortages and shortages[0] < oldest:
            shortages.popleft()
        wanted = len(shortages) - self._retry_budget.borrowed(pool, begun=begun)
        return min(MAX_RETRIES_ASKED, wanted)

    async def _hold_round(self, pool: str, begun: bool) -> int:
        """Ask a few random peers at once; return the number of retries that were lent."""
        wanted = self._wanted(pool, begun)
        address_by_name = self._usable_peers()
        if not address_by_name:
            fields: dict[str, object] = {"pool": pool, "begun": begun, "asked": wanted}
            logger.info("no peer to borrow retries from", extra={"fields": fields})
            return 0
        lender_count = min(MAX_LENDERS_ASKED, len(address_by_name), wanted)
        names = self._random.sample(sorted(address_by_name), lender_count)
        message = BorrowRetries(self._name, pool, math.ceil(wanted / lender_count), begun)
        results = await asyncio.gather(
            *(self._ask(name, address_by_name[name], message) for name in names)
        )
        lent = sum(result for result in results if isinstance(result, int))
        if lent:
            telemetry.retry_loans.add(lent, {"side": "borrowed"})
        fields = {
            "pool": pool,
            "begun": begun,
            "asked": wanted,
            "lent": lent,
            "peers": dict(zip(names, results, strict=True)),
            "remaining": round(self._retry_budget.remaining(pool), 1),
        }
        logger.info("retries borrowed", extra={"fields": fields})
        return lent

    def _usable_peers(self) -> dict[str, str]:
        now = time.monotonic()
        for name, until in list(self._passed_over_until_by_name.items()):
            if until < now:
                del self._passed_over_until_by_name[name]
        return {
            name: address
            for name, address in self._peer_addresses().items()
            if name not in self._passed_over_until_by_name
        }

    async def _ask(self, name: str, address: str, message: BorrowRetries) -> int | str:
        """Ask one peer; return the number of retries that it lent, or why there are none."""
        asked_at = time.monotonic()
        try:
            reply = await self._links.request(address, message, LOAN_TIMEOUT_SECONDS)
        except TransportError as error:
            refused = isinstance(error, PeerRefusedError)
            seconds = REFUSAL_PASS_OVER_SECONDS if refused else SILENCE_PASS_OVER_SECONDS
            self._passed_over_until_by_name[name] = time.monotonic() + seconds
            return str(error)
        if not isinstance(reply, RetriesLent):
            return f"unexpected reply {type(reply).__name__}"
        # A reply above the request is a fault of the peer; what it counts is what was asked for.
        lent = min(reply.count, message.count)
        if not lent:
            return 0
        if not self._retry_budget.add_loan(message.pool, lent, asked_at, begun=message.begun):
            return "expired"
        return lent
