"""Identifies poison requests: request contents that repeatedly crash endpoints."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations

from ragwortpaddled.protocol import CrashEvidence

CRASH_WINDOW_SECONDS = 3.0
EVIDENCE_DELAY_SECONDS = 1.0


@dataclass(slots=True)
class Crash:
    """One crash of one endpoint and the request contents that it was processing."""

    endpoint: str
    at: float
    contents: set[str] = field(default_factory=set)


def group_into_crashes(evidence: Iterable[CrashEvidence]) -> list[Crash]:
    """Group reports into crashes: those of one endpoint within a short window."""
    crashes: list[Crash] = []
    for crash_evidence in sorted(evidence, key=lambda item: item.at):
        for crash in crashes:
            in_window = crash_evidence.at - crash.at <= CRASH_WINDOW_SECONDS
            if crash.endpoint == crash_evidence.endpoint and in_window:
                crash.contents.add(crash_evidence.content)
                break
        else:
            crashes.append(
                Crash(crash_evidence.endpoint, crash_evidence.at, {crash_evidence.content})
            )
    return crashes


def find_poison_contents(
    evidence: Iterable[CrashEvidence], now: float
) -> Iterator[tuple[str, list[Crash]]]:
    """Yield each content that is the only one common to two crashes, with those crashes.

    A crash is considered only after ``EVIDENCE_DELAY_SECONDS``: until then other daemons may report
    more evidence, and requests that did not cause the crash may run past its point on another
    endpoint, which withdraws the evidence against them.
    """
    yielded: set[str] = set()
    settled = [
        crash for crash in group_into_crashes(evidence) if now - crash.at >= EVIDENCE_DELAY_SECONDS
    ]
    for first, second in combinations(settled, 2):
        common_contents = first.contents & second.contents
        if len(common_contents) != 1:
            continue
        content = next(iter(common_contents))
        if content not in yielded:
            yielded.add(content)
            yield content, [first, second]
