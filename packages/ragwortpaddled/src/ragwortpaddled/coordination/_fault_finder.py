"""Asks the first engine of a stalled path which engine it waits for."""

from ragwortpaddled.coordination._dispatcher import Target
from ragwortpaddled.coordination._engine_reports import EngineReports


class FaultFinder:
    """Finds who holds a request up."""

    def __init__(self, reports: EngineReports) -> None:
        self._reports = reports

    async def culprit(self, target: Target, attempt_id: str) -> str | None:
        """Return the id of the engine that holds a request up, the first if it is silent itself.

        None means that the first engine answers and blames no other.
        """
        report = await self._reports.read(target.endpoint.address)
        if report is None:
            return target.endpoint.id
        blamed = report.fault_by_attempt.get(attempt_id)
        return target.id_at(blamed) if blamed else None
