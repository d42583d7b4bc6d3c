"""Keeps records of the latest requests in memory, so that operators can look one up."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_RECORDS = 2000


@dataclass(slots=True)
class RequestRecord:
    """The state and history of one request; ``received_at`` is in seconds since the Unix epoch."""

    request_id: str
    path: str
    received_at: float
    team: str = ""
    route: str = ""
    release: int = 0
    outcome: str = "running"
    notes: list[str] = field(default_factory=list)

    def format_lines(self) -> list[str]:
        """Return the record as lines of text for operators."""
        summary = f"request {self.request_id}: {self.path}, team {self.team or '?'}, {self.outcome}"
        configuration = f"served under release {self.release}, route {self.route or '?'}"
        return [summary, configuration, *self.notes]


class RecentRequests:
    """The records of the latest requests; the oldest is evicted when the limit is exceeded."""

    def __init__(self) -> None:
        self._record_by_id: OrderedDict[str, RequestRecord] = OrderedDict()

    def add(self, record: RequestRecord) -> RequestRecord:
        """Add and return the record of a new request."""
        self._record_by_id[record.request_id] = record
        if len(self._record_by_id) > MAX_RECORDS:
            self._record_by_id.popitem(last=False)
        return record

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None if it is unknown or evicted."""
        return self._record_by_id.get(request_id)

    def add_note(self, request_id: str, text: str) -> None:
        """Append an event to the record of a request, if it has not been evicted."""
        record = self._record_by_id.get(request_id)
        if record is not None:
            record.notes.append(text)
