"""Finds out what a stalled request waits for."""

from dataclasses import dataclass

from ragwortpaddled.coordination._dispatcher import Target
from ragwortpaddled.coordination._engine_reports import EngineReports
from ragwortpaddled.coordination._reach_monitor import ReachMonitor


@dataclass(frozen=True, slots=True)
class Stall:
    """The cause of a stall; without a field set, no engine and no link is known to be at fault."""

    endpoint_id: str = ""  # the engine at fault
    unresponsive: bool = False  # it is the first engine, which did not send its report
    links_lost: bool = False  # this VM's own links to the endpoints are lost


class StallLocator:
    """Finds the engine that stalls a request."""

    def __init__(self, reports: EngineReports, reach_monitor: ReachMonitor) -> None:
        self._reports = reports
        self._reach_monitor = reach_monitor

    async def locate_stall(self, target: Target, attempt_id: str) -> Stall:
        """Return the engine that the first engine names, or the first if it does not respond."""
        if self._reach_monitor.cut and not target.peer and target.may_have_received:
            return Stall(links_lost=True)
        report = await self._reports.read(target.endpoint.address)
        if report is None:
            address = target.endpoint.address
            if not target.peer and await self._reach_monitor.check_links(address):
                return Stall(links_lost=True)
            return Stall(target.endpoint.id, unresponsive=True)
        stalled_address = report.stalled_address_by_attempt.get(attempt_id, "")
        return Stall(target.endpoint_id_at(stalled_address) or "")
