"""Finds which traits of requests explain the crashes of endpoints."""

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ragwortpaddled.state._crash_record import RECORD_TTL_SECONDS, SETTLE_SECONDS, CrashRecord
from ragwortpaddled.state._request_fingerprint import RequestFingerprint

MIN_SCORE = 2.0
# A trait that has run before is less likely to be a cause than one that has never run.
KNOWN_TRAIT_WEIGHT = 0.5
# A crash that leaves only one part that has never run points to that part by itself.
ONLY_NEW_PART_WEIGHT = 2.0
EXPLAINED_WEIGHT = 0.5  # of a crash that another cause explains too
# The quarantine after two crashes; it is multiplied for each further one.
FIRST_QUARANTINE_SECONDS = 10.0
QUARANTINE_FACTOR = 8.0


@dataclass(frozen=True, slots=True)
class CrashCause:
    """A trait that explains crashes: requests with it are quarantined.

    If each of the crashes is also explained by one of ``companions``, only requests with one of
    them too are quarantined. The others show which of the traits is the cause.
    """

    trait: str
    companions: frozenset[str]
    crash_keys: tuple[str, ...]
    until: float  # on the monotonic clock

    def matches(self, fingerprint: RequestFingerprint) -> bool:
        """Return whether a request is quarantined."""
        if self.trait not in fingerprint.traits:
            return False
        return not self.companions or bool(self.companions & fingerprint.traits)


def find_causes(records: Mapping[str, CrashRecord], now: float) -> list[CrashCause]:
    """Return the causes that explain the crashes, the one that explains most of them first.

    Each further cause must explain a crash that the ones before do not, so a sound request that
    waited on several endpoints beside one that crashes them is not blamed once the latter is known.
    """
    settled = {
        key: record
        for key, record in records.items()
        if not record.resolved and now - record.at >= SETTLE_SECONDS
    }
    causes: list[CrashCause] = []
    while (cause := _find_next_cause(settled, causes)) is not None:
        causes.append(cause)
    return causes


@dataclass(slots=True)
class _Suspicion:
    """The crashes that a trait may have caused, and the contents of the requests with it."""

    score: float = 0.0
    crash_keys: list[str] = field(default_factory=list)
    contents: set[str] = field(default_factory=set)
    is_new_part: bool = False  # the only part on one of the endpoints that had never run


def _find_next_cause(
    records: Mapping[str, CrashRecord], causes: list[CrashCause]
) -> CrashCause | None:
    explained_keys = {key for cause in causes for key in cause.crash_keys}
    found = {cause.trait for cause in causes}
    candidates = {
        trait: suspicion
        for trait, suspicion in _collect_suspicions(records, explained_keys).items()
        if suspicion.score >= MIN_SCORE
        and trait not in found
        and not explained_keys.issuperset(suspicion.crash_keys)
        and (trait in suspicion.contents or len(suspicion.contents) > 1 or suspicion.is_new_part)
    }
    decided = [item for item in candidates.items() if not _has_rival(*item, candidates)]
    if not decided:
        return None
    # Among traits that explain as much, the one of the fewest requests is the least likely to be
    # on crashed endpoints by coincidence.
    trait, suspicion = min(
        decided, key=lambda item: (-item[1].score, len(item[1].contents), item[0])
    )
    last_at = max(records[key].at for key in suspicion.crash_keys)
    seconds = FIRST_QUARANTINE_SECONDS * QUARANTINE_FACTOR ** (suspicion.score - MIN_SCORE)
    return CrashCause(
        trait,
        _find_companions(trait, candidates, records),
        tuple(suspicion.crash_keys),
        until=last_at + min(RECORD_TTL_SECONDS, seconds),
    )


def _collect_suspicions(
    records: Mapping[str, CrashRecord], explained_keys: Collection[str]
) -> dict[str, _Suspicion]:
    suspicion_by_trait: defaultdict[str, _Suspicion] = defaultdict(_Suspicion)
    for key, record in records.items():
        new_parts = record.new_parts()
        for content, traits in record.suspect_traits():
            for trait in traits:
                suspicion = suspicion_by_trait[trait]
                suspicion.contents.add(content)
                if suspicion.crash_keys and suspicion.crash_keys[-1] == key:
                    continue
                suspicion.crash_keys.append(key)
                weight = KNOWN_TRAIT_WEIGHT if trait in record.known_traits else 1.0
                if new_parts == {trait}:
                    suspicion.is_new_part = True
                    weight = ONLY_NEW_PART_WEIGHT
                suspicion.score += weight * (EXPLAINED_WEIGHT if key in explained_keys else 1.0)
    for trait, suspicion in suspicion_by_trait.items():
        if trait not in suspicion.contents and len(suspicion.contents) == 1:
            # A part of a single request explains no more than the content of that request.
            suspicion.score = min(suspicion.score, MIN_SCORE)
    return suspicion_by_trait


def _has_rival(
    trait: str, suspicion: _Suspicion, suspicion_by_trait: Mapping[str, _Suspicion]
) -> bool:
    """Return whether a trait is a content and another content explains the same crashes."""
    if trait not in suspicion.contents:
        return False
    return bool(_contents_that_explain(suspicion.crash_keys, suspicion_by_trait) - {trait})


def _contents_that_explain(
    crash_keys: Collection[str], suspicion_by_trait: Mapping[str, _Suspicion]
) -> frozenset[str]:
    """Return the contents of which each one explains all of the crashes."""
    return frozenset(
        trait
        for trait, suspicion in suspicion_by_trait.items()
        if trait in suspicion.contents and set(suspicion.crash_keys) >= set(crash_keys)
    )


def _find_companions(
    trait: str, suspicion_by_trait: Mapping[str, _Suspicion], records: Mapping[str, CrashRecord]
) -> frozenset[str]:
    """Return candidates of the same requests that explain each crash, empty if they do not.

    Contents that explain only some of the crashes are a less likely explanation than one part.
    """
    suspicion = suspicion_by_trait[trait]
    contents = _contents_that_explain(suspicion.crash_keys, suspicion_by_trait)
    candidates = (suspicion_by_trait.keys() - suspicion.contents | contents) - {trait}
    companions: set[str] = set()
    for key in suspicion.crash_keys:
        beside = frozenset().union(
            *(traits for _, traits in records[key].suspect_traits() if trait in traits)
        )
        if beside.isdisjoint(candidates):
            return frozenset()
        companions |= beside & candidates
    return frozenset(companions)
