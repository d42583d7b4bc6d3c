"""Describes the state of a request, an object or an endpoint at this daemon for operators."""

import time

from ragwortpaddled.coordination._endpoint_directory import EndpointDirectory
from ragwortpaddled.coordination._recent_requests import RecentRequests
from ragwortpaddled.coordination._releases import ReleaseTracker
from ragwortpaddled.coordination._signals import SignalMonitor
from ragwortpaddled.state import format_object


class Explainer:
    """Looks up a name among requests, configured objects, endpoints and signals."""

    def __init__(
        self,
        recent_requests: RecentRequests,
        release_tracker: ReleaseTracker,
        endpoint_directory: EndpointDirectory,
        signal_monitor: SignalMonitor,
    ) -> None:
        self._recent_requests = recent_requests
        self._release_tracker = release_tracker
        self._endpoint_directory = endpoint_directory
        self._signal_monitor = signal_monitor

    def explain(self, name: str) -> list[str]:
        """Return lines that describe a request id, an object or an endpoint; none if unknown."""
        record = self._recent_requests.get(name)
        if record is not None:
            return record.format_lines()
        return [*self._objects(name), *self._endpoint(name), *self._signals(name)]

    def _objects(self, name: str) -> list[str]:
        release = self._release_tracker.current
        if release is None:
            return []
        matching_objects = [item for item in release.objects if item.name == name]
        return [
            f"in force in release {release.number}: {format_object(item).strip()}"
            for item in matching_objects
        ]

    def _endpoint(self, name: str) -> list[str]:
        endpoint = self._endpoint_directory.endpoints.get(name)
        if endpoint is None:
            return []
        report = endpoint.report
        now = time.monotonic()
        return [
            f"endpoint of pool {endpoint.vm.pool} in {endpoint.vm.data_centre}, "
            f"layers {report.first_layer}-{report.end_layer}, version {report.version or '?'}",
            f"circuit {endpoint.circuit.state}, usable {endpoint.usable(now)}, "
            f"leaving {endpoint.leaving}, load report fresh {endpoint.has_fresh_report(now)}",
            f"{endpoint.sequences} local sequences, decode step {endpoint.decode.mean:.1f} ms",
        ]

    def _signals(self, name: str) -> list[str]:
        return [
            f"signal {signal.kind}: {'; '.join(signal.evidence)}; {signal.done}; {signal.advice}"
            for signal in self._signal_monitor.signals()
            if signal.object_name == name
        ]
