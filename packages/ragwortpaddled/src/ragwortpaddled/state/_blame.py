"""Finds the request contents that crash endpoints, from evidence of separate crashes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations

from ragwortpaddled.protocol import Blame

CRASH_WINDOW_SECONDS = 3.0
SETTLE_SECONDS = 1.0


@dataclass(slots=True)
class Crash:
    """One crash of one endpoint and the contents that it was working on."""

    endpoint: str
    at: float
    contents: set[str] = field(default_factory=set)


def crashes_of(blames: Iterable[Blame]) -> list[Crash]:
    """Group evidence into crashes: what one endpoint lost within a short window."""
    crashes: list[Crash] = []
    for blame in sorted(blames, key=lambda item: item.at):
        for crash in crashes:
            same_time = blame.at - crash.at <= CRASH_WINDOW_SECONDS
            if crash.endpoint == blame.endpoint and same_time:
                crash.contents.add(blame.content)
                break
        else:
            crashes.append(Crash(blame.endpoint, blame.at, {blame.content}))
    return crashes


def guilty_contents(blames: Iterable[Blame], now: float) -> Iterator[tuple[str, list[Crash]]]:
    """Yield each content that is the only one common to two crashes, with those crashes.

    A crash counts only once it has settled: until then evidence may still come from elsewhere,
    and innocent requests may still clear themselves by running on.
    """
    found: set[str] = set()
    settled = [crash for crash in crashes_of(blames) if now - crash.at >= SETTLE_SECONDS]
    for first, second in combinations(settled, 2):
        common = first.contents & second.contents
        if len(common) != 1:
            continue
        content = next(iter(common))
        if content not in found:
            found.add(content)
            yield content, [first, second]
