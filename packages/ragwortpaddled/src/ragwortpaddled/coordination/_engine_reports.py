"""Reads what engines report of themselves."""

import asyncio
import logging

from ragwortpaddled.errors import ObjectsError, TransportError
from ragwortpaddled.protocol import Dialect, EngineReport
from ragwortpaddled.transport import HttpClient

REPORT_TIMEOUT_SECONDS = 0.3  # an engine that lives answers within a few milliseconds

logger = logging.getLogger(__name__)


class EngineReports:
    """The reports by address; callers that ask at the same time share one read."""

    def __init__(self, http: HttpClient, dialect: Dialect) -> None:
        self._http = http
        self._dialect = dialect
        self._reading_by_address: dict[str, asyncio.Task[EngineReport | None]] = {}

    async def read(self, address: str) -> EngineReport | None:
        """Return an engine's report, None if it does not answer in time."""
        reading = self._reading_by_address.get(address)
        if reading is None:
            reading = asyncio.create_task(self._read(address))
            self._reading_by_address[address] = reading
            reading.add_done_callback(lambda _: self._reading_by_address.pop(address, None))
        return await asyncio.shield(reading)

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
