"""The crash records of a daemon, merged with those of its peers."""

import time
import zlib
from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import replace

import msgspec

from ragwortpaddled.protocol import CrashReport
from ragwortpaddled.state._crash_causes import CrashCause, find_causes
from ragwortpaddled.state._crash_record import (
    RESOLVED_RECORD_TTL_SECONDS,
    SETTLE_SECONDS,
    CrashRecord,
    ttl_seconds,
)
from ragwortpaddled.state._request_fingerprint import RequestFingerprint

MAX_RECORDS = 32
MAX_RECENT_TRAITS = 4096


class CrashRecords:
    """The crash records of one daemon, merged with those of its peers.

    ``release_delay_seconds`` prolongs each quarantine at this daemon. If it differs between
    daemons, they do not all let a request with the cause through when the quarantine ends.
    """

    def __init__(self, release_delay_seconds: float = 0.0) -> None:
        self._release_delay_seconds = release_delay_seconds
        self.record_by_key: dict[str, CrashRecord] = {}
        self.digest = 0  # of the records, equal at daemons that have the same
        self.changed_at = 0.0  # on the monotonic clock; 0 if never
        self._last_run_by_trait: OrderedDict[str, float] = OrderedDict()
        self._causes: list[CrashCause] = []
        self._causes_valid_until = 0.0
        self._update_digest()

    def record_crash(self, key: str, fingerprint: RequestFingerprint) -> None:
        """Record that an endpoint crashed before it began to answer a request."""
        report = CrashReport(key, 0, {fingerprint.content: sorted(fingerprint.traits)})
        self.merge([report])

    def has_crashed(self, key: str) -> bool:
        """Return whether a crash is on record that nothing has contradicted."""
        record = self.record_by_key.get(key)
        return record is not None and not record.resolved

    def record_run(self, key: str, fingerprint: RequestFingerprint, sent_at: float) -> bool:
        """Record that an endpoint began to answer a request; return whether a record changed."""
        now = time.monotonic()
        traits = fingerprint.traits
        for trait in traits:
            self._last_run_by_trait[trait] = now
            self._last_run_by_trait.move_to_end(trait)
        while len(self._last_run_by_trait) > MAX_RECENT_TRAITS:
            self._last_run_by_trait.popitem(last=False)
        changed = False
        for record_key, record in self.record_by_key.items():
            if record.resolved:
                continue
            if record_key == key and sent_at > record.at:
                record.resolve()
                changed = True
            elif record.clear(traits):
                changed = True
        if changed:
            self._note_change()
        return changed

    def reports(self, keys: Collection[str] | None = None) -> list[CrashReport]:
        """Return reports of the records, of all or of those with the given keys."""
        now = time.monotonic()
        return [
            CrashReport(
                key,
                int((now - record.at) * 1000),
                {content: sorted(traits) for content, traits in record.traits_by_content.items()},
                sorted(record.innocent_traits),
                sorted(record.known_traits),
                record.resolved,
            )
            for key, record in self.record_by_key.items()
            if keys is None or key in keys
        ]

    def merge(self, reports: Iterable[CrashReport]) -> bool:
        """Merge the reports of a peer; return whether they changed any record."""
        changed = False
        now = time.monotonic()
        for report in reports:
            at = now - report.age_ms / 1000
            if at < now - ttl_seconds(resolved=report.resolved):
                continue
            record = self.record_by_key.get(report.key)
            if record is None:
                record = self.record_by_key[report.key] = CrashRecord(at)
                changed = True
            record.at = min(record.at, at)
            changed = self._merge_report(record, report) or changed
        if changed:
            self._evict(now)
            self._note_change()
        return changed

    def causes(self) -> list[CrashCause]:
        """Return the causes that are quarantined now."""
        now = time.monotonic()
        if now >= self._causes_valid_until:
            self._evict(now)
            causes = [
                replace(cause, until=cause.until + self._release_delay_seconds)
                for cause in find_causes(self.record_by_key, now)
            ]
            self._causes = [cause for cause in causes if cause.until > now]
            deadlines = [c.until for c in self._causes]
            deadlines += [
                record.at + SETTLE_SECONDS
                for record in self.record_by_key.values()
                if record.at + SETTLE_SECONDS > now
            ]
            self._causes_valid_until = min(deadlines, default=now + RESOLVED_RECORD_TTL_SECONDS)
        return self._causes

    def find_cause(self, fingerprint: RequestFingerprint) -> CrashCause | None:
        """Return the quarantined cause that a request matches, None if there is none."""
        if not self.record_by_key:
            return None
        return next((cause for cause in self.causes() if cause.matches(fingerprint)), None)

    def unsettled_seconds(self, fingerprint: RequestFingerprint) -> float:
        """Return how long a request must wait for evidence: 0 unless it is a likely cause.

        A request waits if one of its traits is suspect in two crashes, or one of its parts has
        never run and is suspect in one, and other daemons may still report about the last of them.
        """
        now = time.monotonic()
        unsettled = [r for r in self.record_by_key.values() if r.is_unsettled(now)]
        if not unsettled:
            return 0.0
        crashes_by_trait = Counter(
            trait
            for record in self.record_by_key.values()
            for trait in fingerprint.traits
            if trait in record.traits and trait not in record.innocent_traits
        )
        repeated = {trait for trait, count in crashes_by_trait.items() if count > 1}
        settled_at = [
            record.at + SETTLE_SECONDS
            for record in unsettled
            if record.traits & repeated or record.new_parts() & fingerprint.prompt_parts
        ]
        return max(settled_at, default=now) - now

    def _merge_report(self, record: CrashRecord, report: CrashReport) -> bool:
        if record.resolved:
            return False
        if report.resolved:
            record.resolve()
            return True
        before = _summary(record)
        record.add_requests(report.requests.items())
        record.innocent_traits.update(report.innocent)
        record.known_traits.update(report.known)
        for trait in record.traits:
            self._apply_own_run(record, trait)
        if before == _summary(record):
            return False
        record.resolve_if_explained()
        return True

    def _apply_own_run(self, record: CrashRecord, trait: str) -> None:
        last_run = self._last_run_by_trait.get(trait)
        if last_run is None:
            return
        if last_run > record.at:
            record.innocent_traits.add(trait)
        else:
            record.known_traits.add(trait)

    def _evict(self, now: float) -> None:
        """Remove expired records, and the oldest ones above ``MAX_RECORDS``."""
        count = len(self.record_by_key)
        for key, record in list(self.record_by_key.items()):
            if record.is_expired(now):
                del self.record_by_key[key]
        resolved_and_oldest_first = sorted(
            self.record_by_key,
            key=lambda k: (not self.record_by_key[k].resolved, self.record_by_key[k].at),
        )
        for key in resolved_and_oldest_first[: max(0, len(self.record_by_key) - MAX_RECORDS)]:
            del self.record_by_key[key]
        if len(self.record_by_key) < count:
            self._update_digest()

    def _note_change(self) -> None:
        self.changed_at = time.monotonic()
        self._causes_valid_until = 0.0
        self._update_digest()

    def _update_digest(self) -> None:
        summary = [(key, _summary(record)) for key, record in sorted(self.record_by_key.items())]
        self.digest = zlib.crc32(msgspec.msgpack.encode(summary))


def _summary(record: CrashRecord) -> tuple[list[str], list[str], list[str], bool]:
    """Return what two daemons have in common if they have merged the same reports."""
    return (
        sorted(record.traits_by_content),
        sorted(record.innocent_traits),
        sorted(record.known_traits),
        record.resolved,
    )
