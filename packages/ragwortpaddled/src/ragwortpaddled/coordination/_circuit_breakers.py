"""Records successes and failures of endpoints in their circuit breakers, metrics and the log."""

import logging
import time

from ragwortpaddled import telemetry
from ragwortpaddled.state import Endpoint

logger = logging.getLogger(__name__)


def record_success(endpoint: Endpoint) -> None:
    """Record a success, which closes the circuit breaker of the endpoint."""
    if endpoint.circuit.record_success(time.monotonic()):
        telemetry.circuit_changes.add(1, {"endpoint": endpoint.name, "to": "closed"})
        logger.info("circuit breaker of endpoint %s closed", endpoint.name)


def record_failure(endpoint: Endpoint, reason: str, *, conclusive: bool = False) -> None:
    """Record a failure, which opens the circuit breaker if it is conclusive or repeated.

    A conclusive failure, such as a broken connection, opens it at once; a timeout is not one.
    """
    if endpoint.circuit.record_failure(time.monotonic(), conclusive=conclusive):
        telemetry.circuit_changes.add(1, {"endpoint": endpoint.name, "to": "open"})
        logger.warning("circuit breaker of endpoint %s opened: %s", endpoint.name, reason)
