"""Reads the status reports of engines."""

import asyncio
import logging

from ragwortpaddled.errors import ObjectsError, TransportError
from ragwortpaddled.protocol import Dialect, EngineReport
from ragwortpaddled.transport import HttpExchange

REPORT_TIMEOUT_SECONDS = 0.3  # a live engine responds within a few milliseconds

logger = logging.getLogger(__name__)


class EngineReports:
    """Reads engine reports by address; concurrent reads of one engine share one request."""

    def __init__(self, http: HttpExchange, dialect: Dialect) -> None:
        self._http = http
        self._dialect = dialect
        self._read_task_by_address: dict[str, asyncio.Task[EngineReport | None]] = {}

    async def read(self, address: str) -> EngineReport | None:
        """Return an engine's report, None if it cannot be read within the timeout."""
        task = self._read_task_by_address.get(address)
        if task is None:
            task = asyncio.create_task(self._read(address))
            self._read_task_by_address[address] = task
            task.add_done_callback(lambda _: self._read_task_by_address.pop(address, None))
        return await asyncio.shield(task)

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
            logger.warning("engine report not read", extra={"fields": fields})
            return None
