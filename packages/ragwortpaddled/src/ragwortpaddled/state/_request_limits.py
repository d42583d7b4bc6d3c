"""Tracks the request limits that endpoints name, and the share of each that one daemon may use.

Load pattern: an endpoint in need names the requests a second that it takes from all daemons. Each
daemon may use an equal share of the limit. A token of the share that is not used soon expires, so
that daemons without work do not save up a burst between them.
"""

import logging
import math
import random
import time
from collections.abc import Collection, Mapping
from dataclasses import dataclass

MAX_LIMIT_UTILIZATION = 0.9  # daemons that have just joined are not counted yet
MIN_REQUESTS_PER_SECOND = 0.25  # only an answer can end a limit, also one of zero
MAX_BURST_SECONDS = 0.5
TOKEN_TTL_SECONDS = 0.5
ENDED_LIMIT_TTL_SECONDS = 20.0  # until then a peer may still report that the limit is in force

LimitReport = tuple[int, float | None]  # milliseconds since the answer, requests a second

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _RequestLimit:
    """The limit of one endpoint, None once it has ended, and this daemon's tokens.

    All times are in seconds on the monotonic clock.
    """

    requests_per_second: float | None
    answered_at: float
    tokens: float
    refilled_at: float
    usable_since: float = math.inf  # when there was last less than one token


class RequestLimits:
    """The limits of all endpoints at one daemon."""

    def __init__(self, random_source: random.Random) -> None:
        self.daemon_count = 1
        self._random = random_source
        self._limit_by_id: dict[str, _RequestLimit] = {}

    def record_answer(self, endpoint_id: str, requests_per_second: float | None) -> None:
        """Record the limit that an answer names, None if it names none."""
        if requests_per_second is not None or endpoint_id in self._limit_by_id:
            self._update(endpoint_id, requests_per_second, time.monotonic())

    def merge_peer(self, report_by_id: Mapping[str, LimitReport]) -> None:
        """Take over what a peer learned from more recent answers."""
        now = time.monotonic()
        for endpoint_id, (age_ms, requests_per_second) in report_by_id.items():
            self._update(endpoint_id, requests_per_second, now - age_ms / 1000)

    def reports(self) -> dict[str, LimitReport]:
        """Return the limits in force and those that ended lately, by endpoint id."""
        now = time.monotonic()
        self._evict_ended(now)
        return {
            endpoint_id: (int((now - limit.answered_at) * 1000), limit.requests_per_second)
            for endpoint_id, limit in self._limit_by_id.items()
        }

    def exhausted_ids(self) -> frozenset[str]:
        """Return the ids of the endpoints to which this daemon must not send a request now."""
        now = time.monotonic()
        return frozenset(
            endpoint_id
            for endpoint_id, limit in self._limit_by_id.items()
            if limit.requests_per_second is not None and self._refill(limit, now) < 1.0
        )

    def record_request(self, endpoint_id: str) -> None:
        """Consume a token for a request to an endpoint, if it has a limit."""
        limit = self._limit_by_id.get(endpoint_id)
        if limit is None or limit.requests_per_second is None:
            return
        limit.tokens -= 1.0
        if limit.tokens < 1.0:
            limit.usable_since = math.inf

    def remove_unlisted(self, known_ids: Collection[str]) -> None:
        """Remove the limits of endpoints that are no longer registered."""
        for endpoint_id in self._limit_by_id.keys() - known_ids:
            del self._limit_by_id[endpoint_id]

    def _update(self, endpoint_id: str, requests_per_second: float | None, at: float) -> None:
        now = time.monotonic()
        if requests_per_second is None and now - at > ENDED_LIMIT_TTL_SECONDS:
            return
        limit = self._limit_by_id.get(endpoint_id)
        if limit is None:
            # Daemons learn of a limit at the same time and must not all send then.
            limit = _RequestLimit(None, at, self._random.random(), now)
            self._limit_by_id[endpoint_id] = limit
        elif at < limit.answered_at:
            return
        limit.answered_at = at
        if limit.requests_per_second != requests_per_second:
            limit.requests_per_second = requests_per_second
            fields = {"endpoint": endpoint_id, "requests_per_second": requests_per_second}
            logger.info("endpoint request limit", extra={"fields": fields})

    def _refill(self, limit: _RequestLimit, now: float) -> float:
        """Add the tokens that have accrued and return their number."""
        assert limit.requests_per_second is not None
        rate = max(MIN_REQUESTS_PER_SECOND, limit.requests_per_second) * MAX_LIMIT_UTILIZATION
        share = rate / self.daemon_count
        limit.tokens += (now - limit.refilled_at) * share
        limit.tokens = min(limit.tokens, max(1.0, share * MAX_BURST_SECONDS))
        limit.refilled_at = now
        if limit.tokens >= 1.0:
            limit.usable_since = min(limit.usable_since, now)
            if now - limit.usable_since > TOKEN_TTL_SECONDS:
                limit.tokens = self._random.random()
                limit.usable_since = math.inf
        return limit.tokens

    def _evict_ended(self, now: float) -> None:
        for endpoint_id, limit in list(self._limit_by_id.items()):
            ended = limit.requests_per_second is None
            if ended and now - limit.answered_at > ENDED_LIMIT_TTL_SECONDS:
                del self._limit_by_id[endpoint_id]
