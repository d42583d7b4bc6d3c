"""Logs the events of relayed requests, under the caller's attempt id."""

import logging
import time

from ragwortpaddled.protocol import RequestMetadata

logger = logging.getLogger(__name__)


def log_request(
    metadata: RequestMetadata, event: str, *, since: float = 0.0, **fields: object
) -> None:
    """Log an event of a request; ``since`` adds the milliseconds since a monotonic time."""
    if not logger.isEnabledFor(logging.INFO):
        return
    if since:
        fields["ms"] = int((time.monotonic() - since) * 1000)
    logger.info(event, extra={"request_id": metadata.attempt_id, "fields": fields})
