"""One crash of an endpoint, and what is known of the requests that may have caused it.

A record lists the requests that an endpoint had received but not begun to answer when it crashed:
one that crashes endpoints does so before its first event. Each daemon knows only the requests that
it sent itself, so records of one crash are merged. Every part of a record only grows, so the order
in which reports arrive does not matter.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

RECORD_TTL_SECONDS = 600.0
RESOLVED_RECORD_TTL_SECONDS = 30.0
MAX_REQUESTS_PER_RECORD = 128
# Other daemons report on a crash, and on requests that ran meanwhile, within a few exchanges.
SETTLE_SECONDS = 0.3


@dataclass(slots=True)
class CrashRecord:
    """One crash: the traits of its requests by content, and which traits did not cause it.

    ``innocent_traits`` have run after the crash, ``known_traits`` had run before it. A record is
    resolved if its endpoint was seen alive afterwards or if no request remains suspect.
    """

    at: float  # on the monotonic clock
    traits_by_content: dict[str, frozenset[str]] = field(default_factory=dict)
    traits: set[str] = field(default_factory=set)  # of all requests
    innocent_traits: set[str] = field(default_factory=set)
    known_traits: set[str] = field(default_factory=set)
    resolved: bool = False

    def add_requests(self, traits_by_content: Iterable[tuple[str, Iterable[str]]]) -> None:
        """Add requests, up to ``MAX_REQUESTS_PER_RECORD``."""
        for content, traits in traits_by_content:
            if len(self.traits_by_content) >= MAX_REQUESTS_PER_RECORD:
                return
            self.traits_by_content.setdefault(content, frozenset(traits))
            self.traits.update(traits)

    def suspect_traits(self) -> Iterable[tuple[str, frozenset[str]]]:
        """Yield the contents that may have caused the crash, each with its suspect traits."""
        for content, traits in self.traits_by_content.items():
            suspect = traits - self.innocent_traits
            if suspect:
                yield content, suspect

    def new_parts(self) -> set[str]:
        """Return the suspect prompt parts that had never run before the crash."""
        return (
            self.traits - self.innocent_traits - self.known_traits - self.traits_by_content.keys()
        )

    def is_unsettled(self, now: float) -> bool:
        """Return whether other daemons may still report on the crash."""
        return not self.resolved and now < self.at + SETTLE_SECONDS

    def is_expired(self, now: float) -> bool:
        """Return whether the record is too old to count."""
        return now - self.at > ttl_seconds(resolved=self.resolved)

    def clear(self, traits: Iterable[str]) -> bool:
        """Clear traits that have run since the crash; return whether any was suspect."""
        cleared = {t for t in traits if t in self.traits and t not in self.innocent_traits}
        self.innocent_traits |= cleared
        self.resolve_if_explained()
        return bool(cleared)

    def resolve(self) -> None:
        """Mark the crash as explained, and remove its requests."""
        self.resolved = True
        for traits in (self.traits, self.innocent_traits, self.known_traits):
            traits.clear()
        self.traits_by_content.clear()

    def resolve_if_explained(self) -> None:
        """Resolve the record if it has requests and all of them are innocent."""
        if self.traits_by_content and self.traits <= self.innocent_traits:
            self.resolve()


def ttl_seconds(*, resolved: bool) -> float:
    """Return how long a record counts."""
    return RESOLVED_RECORD_TTL_SECONDS if resolved else RECORD_TTL_SECONDS
