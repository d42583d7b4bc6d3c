"""One shard of the operation records: a mutable head object and immutable, sealed segments.

The conditional write of the head guards the whole shard: a cache of the segments is complete as
long as the version of the stored head is the one that the cache was built from.
"""

import secrets
from collections import ChainMap
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatchmethod

import msgspec

from ragwortpaddled.protocol import (
    Change,
    ChangeResult,
    ChangeStatus,
    Completion,
    Intent,
    LostRecord,
    OperationRecord,
)
from ragwortpaddled.state._operations import (
    apply_completion,
    apply_intent,
    evaluate_intent,
    merge_records,
)

MAX_HEAD_BYTES = 256 * 1024
MAX_SEGMENTS = 256


class SegmentRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference to a sealed segment; ``expires_at`` is the latest expiry of its records."""

    key: str
    expires_at: float


class ShardHead(msgspec.Struct, frozen=True):
    """The value of a shard's head object; ``write_id`` identifies its write."""

    write_id: str
    segments: list[SegmentRef]
    records: list[OperationRecord]


def head_key(shard: int) -> str:
    """Return the platform key of a shard's head."""
    return f"operations/{shard:03d}/head"


def new_segment_key(shard: int) -> str:
    """Return a new random platform key for a sealed segment."""
    return f"operations/{shard:03d}/segments/{secrets.token_hex(8)}"


@dataclass(slots=True)
class Shard:
    """The cached records of a shard at one version of its head."""

    version: int = 0
    segments: list[SegmentRef] = field(default_factory=list)
    record_by_key: dict[str, OperationRecord] = field(default_factory=dict)
    sealed_by_segment: dict[str, dict[str, OperationRecord]] = field(default_factory=dict)

    @property
    def sealed(self) -> ChainMap[str, OperationRecord]:
        """Return the sealed records by key; newer segments take precedence."""
        newest_first = reversed(self.segments)
        return ChainMap(*(self.sealed_by_segment[segment.key] for segment in newest_first))

    def find(self, key: str) -> OperationRecord | None:
        """Return the record of a key, from the head or from a segment, or None."""
        return self.record_by_key.get(key) or self.sealed.get(key)

    def all_records(self, now: float) -> list[OperationRecord]:
        """Return the latest record of each key, without expired ones."""
        latest_by_key = {**self.sealed, **self.record_by_key}
        return [record for record in latest_by_key.values() if record.expires_at > now]

    def draft(self, now: float) -> "ShardDraft":
        """Return a mutable copy without expired records and segments."""
        records = {
            key: record for key, record in self.record_by_key.items() if record.expires_at > now
        }
        segments = [segment for segment in self.segments if segment.expires_at > now]
        return ShardDraft(records, segments, self.sealed)

    def load_head(self, head: ShardHead, version: int) -> None:
        """Replace the state by that of a stored head, whose segments must all be loaded."""
        self.version = version
        self.segments = head.segments
        self.record_by_key = {record.key: record for record in head.records}
        current_keys = {segment.key for segment in head.segments}
        for key in set(self.sealed_by_segment) - current_keys:
            del self.sealed_by_segment[key]


@dataclass(slots=True)
class ShardDraft:
    """The next state of a shard, not yet written to the store."""

    record_by_key: dict[str, OperationRecord]
    segments: list[SegmentRef]
    sealed: ChainMap[str, OperationRecord]
    changed: bool = False

    def apply(self, change: Change) -> ChangeResult:
        """Apply a change; set ``changed`` if it must be written."""
        change_result = self._apply(change)
        self.changed |= change_result.verdict is ChangeStatus.GRANTED
        return change_result

    @singledispatchmethod
    def _apply(self, change: Change) -> ChangeResult:
        raise NotImplementedError(type(change))

    @_apply.register
    def _(self, change: Intent) -> ChangeResult:
        return apply_intent(self.record_by_key, self.sealed, change)

    @_apply.register
    def _(self, change: Completion) -> ChangeResult:
        return apply_completion(self.record_by_key, self.sealed, change)

    @_apply.register
    def _(self, change: LostRecord) -> ChangeResult:
        stored = self._find(change.key)
        merged = merge_records(stored, change.record)
        if merged == stored:
            return ChangeResult(ChangeStatus.FINISHED, stored)
        self.record_by_key[change.key] = merged
        return ChangeResult(ChangeStatus.GRANTED, merged)

    def answer_without_grant(self, intent: Intent) -> ChangeResult:
        """Return the decision on an intent, ``WITHHELD`` if the attempt could run."""
        change_result = evaluate_intent(self._find(intent.key), intent)
        if change_result.verdict is ChangeStatus.GRANTED:
            return ChangeResult(ChangeStatus.WITHHELD, change_result.record)
        return change_result

    def recover(self, records: Iterable[OperationRecord]) -> None:
        """Add records that a restored store may have lost; set ``changed`` if it had."""
        for record in records:
            self.apply(LostRecord(record))

    def _find(self, key: str) -> OperationRecord | None:
        return self.record_by_key.get(key) or self.sealed.get(key)

    @property
    def full(self) -> bool:
        """Return whether the shard has reached its maximum number of segments."""
        return len(self.segments) >= MAX_SEGMENTS

    def head(self) -> ShardHead:
        """Return the head object to write, with a new write id."""
        return ShardHead(secrets.token_hex(8), self.segments, list(self.record_by_key.values()))

    def seal(self, segment_key: str) -> list[OperationRecord]:
        """Move all records of the head to a new sealed segment and return them."""
        records = list(self.record_by_key.values())
        expires_at = max(record.expires_at for record in records)
        self.segments = [*self.segments, SegmentRef(segment_key, expires_at)]
        self.record_by_key = {}
        return records
