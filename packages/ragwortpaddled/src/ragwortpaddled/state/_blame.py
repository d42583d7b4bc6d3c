"""Identifies poison requests: request contents that repeatedly crash endpoints."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations

from ragwortpaddled.protocol import Blame

CRASH_WINDOW_SECONDS = 3.0
SETTLE_SECONDS = 1.0


@dataclass(slots=True)
class Crash:
    """One crash of one endpoint and the request contents that it was processing."""

    endpoint: str
    at: float
    contents: set[str] = field(default_factory=set)


def group_into_crashes(blames: Iterable[Blame]) -> list[Crash]:
    """Group reports into crashes: those of one endpoint within a short window."""
    crashes: list[Crash] = []
    for blame in sorted(blames, key=lambda item: item.at):
        for crash in crashes:
            in_window = blame.at - crash.at <= CRASH_WINDOW_SECONDS
            if crash.endpoint == blame.endpoint and in_window:
                crash.contents.add(blame.content)
                break
        else:
            crashes.append(Crash(blame.endpoint, blame.at, {blame.content}))
    return crashes


def guilty_contents(blames: Iterable[Blame], now: float) -> Iterator[tuple[str, list[Crash]]]:
    """Yield each content that is the only one common to two crashes, with those crashes.

    A crash is considered only after ``SETTLE_SECONDS``: until then other daemons may report more
    evidence, and requests that did not cause the crash may run past its point on another endpoint,
    which withdraws the evidence against them.
    """
    yielded: set[str] = set()
    settled = [crash for crash in group_into_crashes(blames) if now - crash.at >= SETTLE_SECONDS]
    for first, second in combinations(settled, 2):
        common_contents = first.contents & second.contents
        if len(common_contents) != 1:
            continue
        content = next(iter(common_contents))
        if content not in yielded:
            yielded.add(content)
            yield content, [first, second]
