"""Queries the first engine of a stalled path for the engine that it waits for."""

from ragwortpaddled.coordination._dispatcher import Target
from ragwortpaddled.coordination._engine_reports import EngineReports


class StallLocator:
    """Finds the engine that stalls a request."""

    def __init__(self, reports: EngineReports) -> None:
        self._reports = reports

    async def locate_stall(self, target: Target, attempt_id: str) -> str | None:
        """Return the id of the engine that stalls a request, the first if it does not respond.

        None means that the first engine responds and reports no fault of another engine.
        """
        report = await self._reports.read(target.endpoint.address)
        if report is None:
            return target.endpoint.id
        stalled_address = report.stalled_address_by_attempt.get(attempt_id)
        return target.endpoint_id_at(stalled_address) if stalled_address else None
