"""Logs how many endpoints a daemon reaches, so that its own lost links show as such."""

import logging
import time

MAX_LOGGED_IDS = 20  # in one line

logger = logging.getLogger(__name__)


class ConnectionLog:
    """Counts the endpoints that are reached and those that are not, and logs them together.

    One endpoint that is not reached has a fault of its own; if no endpoint is, the fault is between
    this daemon and the endpoints.
    """

    def __init__(self) -> None:
        self._answered_at = time.monotonic()
        self._answered_ids: set[str] = set()
        self._reason_by_unreached_id: dict[str, str] = {}
        self._broken_ids: set[str] = set()

    def record_answer(self, endpoint_id: str) -> None:
        """Record that an endpoint has begun to respond."""
        self._answered_at = time.monotonic()
        self._answered_ids.add(endpoint_id)

    def record_unreached(self, endpoint_id: str, reason: str) -> None:
        """Record that a connection to an endpoint could not be opened."""
        self._reason_by_unreached_id[endpoint_id] = reason

    def record_broken(self, endpoint_id: str) -> None:
        """Record that a connection broke before the endpoint responded."""
        self._broken_ids.add(endpoint_id)

    def write(self) -> None:
        """Log the endpoints since the last call, if there was a failure among them."""
        if self._reason_by_unreached_id or self._broken_ids:
            unreached_ids = sorted(self._reason_by_unreached_id)[:MAX_LOGGED_IDS]
            fields = {
                "unreached": len(self._reason_by_unreached_id),
                "endpoints": unreached_ids,
                "reason": next(iter(self._reason_by_unreached_id.values()), ""),
                "broken": len(self._broken_ids),
                "answered": len(self._answered_ids),
                "last_answer_ms": int((time.monotonic() - self._answered_at) * 1000),
            }
            logger.warning("endpoints not reached", extra={"fields": fields})
        self._answered_ids.clear()
        self._reason_by_unreached_id.clear()
        self._broken_ids.clear()
