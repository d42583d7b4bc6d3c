"""The story of one request, read from the daemons' logs."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

# What a daemon came to believe about an endpoint or a link; told beside a request that used it.
BELIEFS = frozenset({"endpoint gone", "endpoint entry", "order given", "order lost", "peer lost"})
HIDDEN_FIELDS = frozenset({"time", "level", "logger", "request", "message"})


@dataclass(frozen=True, slots=True)
class _Line:
    """One line of a log; the prefix is what a collector put before it."""

    prefix: str
    fields: dict[str, object]

    @property
    def time(self) -> str:
        return str(self.fields.get("time", ""))

    def event(self) -> str:
        """Return what happened, wherever it was logged."""
        shown = [
            f"{name}={value}" for name, value in self.fields.items() if name not in HIDDEN_FIELDS
        ]
        return f"{self.fields.get('message')}: {', '.join(shown)}"

    def text(self) -> str:
        """Return the line as it is told."""
        return " ".join(part for part in (self.time, self.prefix, self.event()) if part)


def tell_story(lines: Iterable[str], request_id: str) -> list[str]:
    """Return the lines about a request in order of time, with what was believed of its endpoints.

    Lines that are not JSON are passed over, since a collector may mix in others.
    """
    parsed = [line for line in map(_parse, lines) if line is not None]
    told = [line for line in parsed if line.fields.get("request") == request_id]
    if not told:
        return []
    first, last = min(line.time for line in told), max(line.time for line in told)
    used = {str(line.fields["endpoint"]) for line in told if line.fields.get("endpoint")}
    for line in told:
        path = line.fields.get("path")
        used.update(path if isinstance(path, list) else ())
    belief_by_text: dict[str, _Line] = {}
    for line in sorted(parsed, key=lambda line: line.time):
        if line.fields.get("message") not in BELIEFS or line.fields.get("endpoint") not in used:
            continue
        if first <= line.time <= last:
            belief_by_text.setdefault(line.event(), line)  # every daemon comes to believe it
    ordered = sorted([*told, *belief_by_text.values()], key=lambda line: line.time)
    return [line.text() if line in told else f"    {line.text()}" for line in ordered]


def _parse(text: str) -> _Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    return _Line(text[:start].strip(), fields) if isinstance(fields, dict) else None
