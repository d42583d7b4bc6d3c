"""Describes the state of a request, an object or an endpoint at this daemon for operators."""

import time

from ragwortpaddled.coordination._directory import Directory
from ragwortpaddled.coordination._journal import Journal
from ragwortpaddled.coordination._releases import ReleaseFollower
from ragwortpaddled.coordination._signals import Watchman
from ragwortpaddled.state import write_object


class Explainer:
    """Looks up a name among requests, configured objects, endpoints and signals."""

    def __init__(
        self,
        journal: Journal,
        releases: ReleaseFollower,
        directory: Directory,
        watchman: Watchman,
    ) -> None:
        self._journal = journal
        self._releases = releases
        self._directory = directory
        self._watchman = watchman

    def explain(self, name: str) -> list[str]:
        """Return lines that describe a request id, an object or an endpoint; none if unknown."""
        record = self._journal.get(name)
        if record is not None:
            return record.format_lines()
        return [*self._objects(name), *self._endpoint(name), *self._signals(name)]

    def _objects(self, name: str) -> list[str]:
        release = self._releases.current
        if release is None:
            return []
        matching_objects = [item for item in release.objects if item.name == name]
        return [
            f"in force in release {release.number}: {write_object(item).strip()}"
            for item in matching_objects
        ]

    def _endpoint(self, name: str) -> list[str]:
        endpoint = self._directory.endpoints.get(name)
        if endpoint is None:
            return []
        report = endpoint.report
        now = time.monotonic()
        return [
            f"endpoint of pool {endpoint.vm.pool} in {endpoint.vm.data_centre}, "
            f"layers {report.first_layer}-{report.end_layer}, version {report.version or '?'}",
            f"circuit {endpoint.circuit.state}, usable {endpoint.usable(now)}, "
            f"leaving {endpoint.leaving}, load report fresh {endpoint.fresh(now)}",
            f"{endpoint.sequences} local sequences, decode step {endpoint.decode.mean:.1f} ms",
        ]

    def _signals(self, name: str) -> list[str]:
        return [
            f"signal {signal.kind}: {'; '.join(signal.evidence)}; {signal.done}; {signal.advice}"
            for signal in self._watchman.signals()
            if signal.object_name == name
        ]
