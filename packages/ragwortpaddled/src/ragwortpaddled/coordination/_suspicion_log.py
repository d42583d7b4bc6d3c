"""Logs which engines daemons suspect to be lost, and which a quorum of them counts as lost."""

import asyncio
import logging
import time

from ragwortpaddled.state import EndpointLoads, Suspicion

INTERVAL_SECONDS = 0.1
MAX_LOGGED_IDS = 20  # in one line

logger = logging.getLogger(__name__)


class SuspicionLog:
    """Logs each change of what this daemon and its peers believe of engines."""

    def __init__(self, loads: EndpointLoads) -> None:
        self._loads = loads
        self._lost_since_by_id: dict[str, float] = {}
        self._suspected_by_peer: dict[str, frozenset[str]] = {}

    async def run(self) -> None:
        """Log the engines that become lost or are no longer, for the life of the daemon."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            self._log_lost_engines()

    def record_peer(self, name: str, suspect_ids: list[str]) -> None:
        """Log the engines that a peer suspects, if they are others than it named before."""
        suspected = frozenset(suspect_ids)
        previous = self._suspected_by_peer.get(name, frozenset())
        if suspected == previous:
            return
        self._suspected_by_peer[name] = suspected
        fields = {
            "peer": name,
            "count": len(suspected),
            "added": _first_ids(suspected - previous),
            "removed": _first_ids(previous - suspected),
        }
        logger.info("engines suspected by a peer", extra={"fields": fields})

    def remove_peer(self, name: str) -> None:
        """Forget the engines that a peer suspected."""
        self._suspected_by_peer.pop(name, None)

    def _log_lost_engines(self) -> None:
        now = time.monotonic()
        lost_ids = self._loads.confirmed_lost_ids()
        for endpoint_id in sorted(lost_ids - self._lost_since_by_id.keys()):
            self._lost_since_by_id[endpoint_id] = now
            self._log_change("engine counted as lost", endpoint_id, 0.0)
        for endpoint_id in sorted(self._lost_since_by_id.keys() - lost_ids):
            lost_seconds = now - self._lost_since_by_id.pop(endpoint_id)
            self._log_change("engine no longer counted as lost", endpoint_id, lost_seconds)

    def _log_change(self, event: str, endpoint_id: str, lost_seconds: float) -> None:
        fields: dict[str, object] = {
            "endpoint": endpoint_id,
            "suspicions": [_to_fields(s) for s in self._loads.suspicions_of(endpoint_id)],
        }
        if lost_seconds:
            fields["lost_ms"] = int(lost_seconds * 1000)
        logger.info(event, extra={"fields": fields})


def _first_ids(ids: frozenset[str]) -> list[str]:
    return sorted(ids)[:MAX_LOGGED_IDS]


def _to_fields(suspicion: Suspicion) -> dict[str, object]:
    return {
        "daemon": suspicion.daemon or "this one",
        "age_ms": int(suspicion.age_seconds * 1000),
        "report_age_ms": int(suspicion.report_age_seconds * 1000),
    }
