"""Tracks the request limits that endpoints name in their answers."""

import logging

logger = logging.getLogger(__name__)


class RequestLimits:
    """The requests a second that endpoints in need take from all daemons together."""

    def __init__(self) -> None:
        self._limit_by_id: dict[str, float] = {}

    def record_answer(self, endpoint_id: str, requests_per_second: float | None) -> None:
        """Record the limit that an answer names, None if it names none."""
        if self._limit_by_id.get(endpoint_id) == requests_per_second:
            return
        if requests_per_second is None:
            del self._limit_by_id[endpoint_id]
        else:
            self._limit_by_id[endpoint_id] = requests_per_second
        fields = {"endpoint": endpoint_id, "requests_per_second": requests_per_second}
        logger.info("endpoint request limit", extra={"fields": fields})
