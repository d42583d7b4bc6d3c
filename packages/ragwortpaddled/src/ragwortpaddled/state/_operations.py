"""State transitions of operations that run at most once under an idempotency key.

Every update of a shard applies one of these transitions to its records and then replaces the
shard's stored object by a conditional write. They are safe for concurrent writers; assigning a
shard to one daemon is only an optimization.
"""

import hashlib
from collections.abc import Mapping, MutableMapping
from functools import singledispatch

import msgspec
import xxhash

from ragwortpaddled.protocol import (
    Change,
    ChangeResult,
    ChangeStatus,
    Completion,
    Intent,
    LostRecord,
    OperationRecord,
    OperationState,
)

SHARD_COUNT = 8
MAX_KEY_BYTES = 200
MAX_RECORDED_BODY_BYTES = 4096
UUID7_LENGTH = 36
UUID7_VERSION_INDEX = 14

# The attempt of a record that stands for several attempts, so that no completion without an outcome
# matches it.
SEVERAL_ATTEMPTS = ""

_WEIGHT_BY_STATE = {
    OperationState.NOT_RUN: 0,
    OperationState.INTENT: 1,
    OperationState.DONE: 2,
}


@singledispatch
def record_after(change: Change) -> OperationRecord:
    """Return the record that a committed change leaves."""
    raise NotImplementedError(type(change))


@record_after.register
def _(change: Intent) -> OperationRecord:
    return OperationRecord(
        change.key,
        change.attempt,
        OperationState.INTENT,
        change.body_digest,
        change.at,
        change.expires_at,
    )


@record_after.register
def _(change: Completion) -> OperationRecord:
    return OperationRecord(
        change.key,
        change.attempt,
        OperationState.NOT_RUN if change.outcome is None else OperationState.DONE,
        change.body_digest,
        change.at,
        change.expires_at,
        change.outcome,
    )


@record_after.register
def _(change: LostRecord) -> OperationRecord:
    return change.record


def operation_key(team: str, route: str, idempotency_key: str) -> str:
    """Return the record key for an idempotency key of a team on a route."""
    text = f"{len(team)}:{team}{len(route)}:{route}{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def shard_for_key(key: str) -> int:
    """Return the number of the shard that stores a record key."""
    return xxhash.xxh32_intdigest(key.encode()) % SHARD_COUNT


def evaluate_intent(record: OperationRecord | None, intent: Intent) -> ChangeResult:
    """Decide whether an attempt may run, given the latest record of its key."""
    if record is None:
        return ChangeResult(ChangeStatus.GRANTED)
    if record.body_digest != intent.body_digest:
        return ChangeResult(ChangeStatus.KEY_REUSED, record)
    if record.state is OperationState.DONE:
        return ChangeResult(ChangeStatus.FINISHED, record)
    if record.state is OperationState.INTENT:
        same_attempt = record.attempt == intent.attempt
        return ChangeResult(ChangeStatus.GRANTED if same_attempt else ChangeStatus.IN_DOUBT, record)
    # A delayed duplicate of an attempt that was recorded as not run must not be granted.
    if record.attempt == intent.attempt:
        return ChangeResult(ChangeStatus.STALE, record)
    return ChangeResult(ChangeStatus.GRANTED)


def apply_intent(
    record_by_key: MutableMapping[str, OperationRecord],
    sealed_by_key: Mapping[str, OperationRecord],
    intent: Intent,
) -> ChangeResult:
    """Decide whether an attempt may run, and record its intent if so."""
    record = record_by_key.get(intent.key) or sealed_by_key.get(intent.key)
    change_result = evaluate_intent(record, intent)
    if change_result.verdict is ChangeStatus.GRANTED:
        record_by_key[intent.key] = record_after(intent)
    return change_result


def apply_completion(
    record_by_key: MutableMapping[str, OperationRecord],
    sealed_by_key: Mapping[str, OperationRecord],
    completion: Completion,
) -> ChangeResult:
    """Record the outcome of an attempt, unless its key belongs to another attempt.

    An attempt that has run always counts: the store may have lost its record in a restore and
    granted another one.
    """
    record = record_by_key.get(completion.key) or sealed_by_key.get(completion.key)
    if record is not None:
        same_attempt = record.attempt == completion.attempt
        if record.state is OperationState.DONE or (
            same_attempt and record.state is OperationState.NOT_RUN
        ):
            return ChangeResult(
                ChangeStatus.FINISHED if same_attempt else ChangeStatus.STALE, record
            )
        if not same_attempt and completion.outcome is None:
            return ChangeResult(ChangeStatus.STALE, record)
    record_by_key[completion.key] = record_after(completion)
    return ChangeResult(ChangeStatus.GRANTED)


def merge_records(known: OperationRecord | None, other: OperationRecord) -> OperationRecord:
    """Return the record that two records of a key amount to, if either may be older.

    An outcome is final, and an attempt that may have run weighs more than one that has not. Two
    attempts that may both have run leave the key in doubt until one of them has an outcome.
    """
    if known is None:
        return other
    if known.attempt == other.attempt:
        return other if known.state is OperationState.INTENT else known
    weight, known_weight = _WEIGHT_BY_STATE[other.state], _WEIGHT_BY_STATE[known.state]
    if weight != known_weight or known.state is not OperationState.INTENT:
        return other if weight > known_weight else known
    expires_at = max(known.expires_at, other.expires_at)
    return msgspec.structs.replace(known, attempt=SEVERAL_ATTEMPTS, expires_at=expires_at)


def parse_key_timestamp(idempotency_key: str) -> float | None:
    """Return the timestamp of a UUID version 7 in Unix seconds, or None for any other key."""
    text = idempotency_key.lower()
    if len(text) != UUID7_LENGTH or text[UUID7_VERSION_INDEX] != "7":
        return None
    try:
        return int(text[:8] + text[9:13], 16) / 1000
    except ValueError:
        return None
