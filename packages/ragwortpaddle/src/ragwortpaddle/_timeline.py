"""Builds the timeline of one request from the daemons' logs."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

# Events about an endpoint or a peer; shown with a request that used the endpoint.
STATE_EVENTS = frozenset(
    {"endpoint gone", "endpoint entry", "order given", "order lost", "peer lost"}
)
HIDDEN_FIELDS = frozenset({"time", "level", "logger", "request", "message"})


@dataclass(frozen=True, slots=True)
class _LogLine:
    """One parsed log line; the prefix is the text that a log collector put before the JSON."""

    prefix: str
    fields: dict[str, object]

    @property
    def time(self) -> str:
        return str(self.fields.get("time", ""))

    def format_event(self) -> str:
        """Return message and fields, which are equal for the same event in any daemon's log."""
        shown_fields = [
            f"{name}={value}" for name, value in self.fields.items() if name not in HIDDEN_FIELDS
        ]
        return f"{self.fields.get('message')}: {', '.join(shown_fields)}"

    def format_line(self) -> str:
        """Return the line with its time and prefix, as operators read it."""
        return " ".join(part for part in (self.time, self.prefix, self.format_event()) if part)


def build_timeline(lines: Iterable[str], request_id: str) -> list[str]:
    """Return a request's log lines in order of time, with the state changes of its endpoints.

    Lines that are not JSON are skipped, since a collector may mix in other output.
    """
    parsed = [line for line in map(_parse, lines) if line is not None]
    matching = [line for line in parsed if line.fields.get("request") == request_id]
    if not matching:
        return []
    first, last = min(line.time for line in matching), max(line.time for line in matching)
    used = {str(line.fields["endpoint"]) for line in matching if line.fields.get("endpoint")}
    for line in matching:
        path = line.fields.get("path")
        used.update(path if isinstance(path, list) else ())
    event_by_text: dict[str, _LogLine] = {}
    for line in sorted(parsed, key=lambda line: line.time):
        if (
            line.fields.get("message") not in STATE_EVENTS
            or line.fields.get("endpoint") not in used
        ):
            continue
        if first <= line.time <= last:
            # Each daemon logs the event; keep the first line.
            event_by_text.setdefault(line.format_event(), line)
    ordered = sorted([*matching, *event_by_text.values()], key=lambda line: line.time)
    return [
        line.format_line() if line in matching else f"    {line.format_line()}" for line in ordered
    ]


def _parse(text: str) -> _LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    return _LogLine(text[:start].strip(), fields) if isinstance(fields, dict) else None
