"""Asks the first engine of a stalled path which engine it waits for."""

import asyncio
import logging

from ragwortpaddled.coordination._dispatcher import Target
from ragwortpaddled.errors import ObjectsError, TransportError
from ragwortpaddled.protocol import Dialect, EngineReport
from ragwortpaddled.transport import HttpClient

REPORT_TIMEOUT_SECONDS = 0.3  # an engine that lives answers within a few milliseconds

logger = logging.getLogger(__name__)


class FaultFinder:
    """Reads engines' reports; requests that stall together share one."""

    def __init__(self, http: HttpClient, dialect: Dialect) -> None:
        self._http = http
        self._dialect = dialect
        self._reading_by_address: dict[str, asyncio.Task[EngineReport | None]] = {}

    async def culprit(self, target: Target, attempt_id: str) -> str | None:
        """Return the id of the engine that holds a request up, the first if it is silent itself.

        None means that the first engine answers and blames no other.
        """
        address = target.endpoint.address
        reading = self._reading_by_address.get(address)
        if reading is None:
            reading = asyncio.create_task(self._read(address))
            self._reading_by_address[address] = reading
            reading.add_done_callback(lambda _: self._reading_by_address.pop(address, None))
        report = await asyncio.shield(reading)
        if report is None:
            return target.endpoint.id
        blamed = report.fault_by_attempt.get(attempt_id)
        return target.id_at(blamed) if blamed else None

    async def _read(self, address: str) -> EngineReport | None:
        try:
            reply = await self._http.exchange(
                "GET",
                f"http://{address}{self._dialect.report_path}",
                timeout_seconds=REPORT_TIMEOUT_SECONDS,
            )
            return self._dialect.decode_report(reply.body)
        except (TransportError, ObjectsError) as error:
            fields = {"address": address, "reason": str(error)}
            logger.warning("report not read", extra={"fields": fields})
            return None
