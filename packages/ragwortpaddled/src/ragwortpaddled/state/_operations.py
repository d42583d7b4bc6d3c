"""State transitions of operations that run at most once under an idempotency key.

Every update of a shard applies one of these transitions to its records and then replaces the
shard's stored object by a conditional write. They are safe for concurrent writers; assigning a
shard to one daemon is only an optimization.
"""

import hashlib
from collections.abc import Mapping, MutableMapping

import xxhash

from ragwortpaddled.protocol import (
    ChangeResult,
    ChangeStatus,
    Completion,
    Intent,
    OperationRecord,
    OperationState,
)

SHARD_COUNT = 8
MAX_KEY_BYTES = 200
MAX_RECORDED_BODY_BYTES = 4096
UUID7_LENGTH = 36
UUID7_VERSION_INDEX = 14

_WEIGHT_BY_STATE = {
    OperationState.NOT_RUN: 0,
    OperationState.INTENT: 1,
    OperationState.DONE: 2,
}


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
        record_by_key[intent.key] = OperationRecord(
            intent.key,
            intent.attempt,
            OperationState.INTENT,
            intent.body_digest,
            intent.at,
            intent.expires_at,
        )
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
    state = OperationState.NOT_RUN if completion.outcome is None else OperationState.DONE
    record_by_key[completion.key] = OperationRecord(
        completion.key,
        completion.attempt,
        state,
        completion.body_digest,
        completion.at,
        completion.expires_at,
        completion.outcome,
    )
    return ChangeResult(ChangeStatus.GRANTED)


def supersedes(record: OperationRecord, other: OperationRecord) -> bool:
    """Return whether a record replaces another one of the same key, if either may be older.

    An outcome is final. Between attempts, one that may have run weighs more than one that has not.
    """
    if record.attempt == other.attempt:
        return other.state is OperationState.INTENT and record.state is not OperationState.INTENT
    weight = _WEIGHT_BY_STATE[record.state]
    other_weight = _WEIGHT_BY_STATE[other.state]
    return (weight, record.at) > (other_weight, other.at)


def parse_key_timestamp(idempotency_key: str) -> float | None:
    """Return the timestamp of a UUID version 7 in Unix seconds, or None for any other key."""
    text = idempotency_key.lower()
    if len(text) != UUID7_LENGTH or text[UUID7_VERSION_INDEX] != "7":
        return None
    try:
        return int(text[:8] + text[9:13], 16) / 1000
    except ValueError:
        return None
