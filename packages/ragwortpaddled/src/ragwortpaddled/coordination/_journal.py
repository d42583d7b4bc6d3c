"""Remembers the latest requests of a daemon, so that operators can ask what became of one."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_REQUESTS = 2000


@dataclass(slots=True)
class RequestRecord:
    """What is known of one request; times in seconds of the Unix epoch."""

    request_id: str
    path: str
    at: float
    team: str = ""
    route: str = ""
    release: int = 0
    outcome: str = "running"
    notes: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Return the record in the form that operators read."""
        head = f"request {self.request_id}: {self.path}, team {self.team or '?'}, {self.outcome}"
        served = f"served under release {self.release}, route {self.route or '?'}"
        return [head, served, *self.notes]


class Journal:
    """The latest requests, the oldest forgotten first."""

    def __init__(self) -> None:
        self._record_by_id: OrderedDict[str, RequestRecord] = OrderedDict()

    def open(self, record: RequestRecord) -> RequestRecord:
        """Remember a request."""
        self._record_by_id[record.request_id] = record
        if len(self._record_by_id) > MAX_REQUESTS:
            self._record_by_id.popitem(last=False)
        return record

    def get(self, request_id: str) -> RequestRecord | None:
        """Return a request if it is still remembered."""
        return self._record_by_id.get(request_id)

    def note(self, request_id: str, text: str) -> None:
        """Add what happened to a request."""
        record = self._record_by_id.get(request_id)
        if record is not None:
            record.notes.append(text)
