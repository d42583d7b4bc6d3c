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
    """Record the outcome of an attempt, unless its key belongs to another attempt."""
    record = record_by_key.get(completion.key) or sealed_by_key.get(completion.key)
    if record is not None and record.attempt != completion.attempt:
        return ChangeResult(ChangeStatus.STALE, record)
    if record is not None and record.state is not OperationState.INTENT:
        return ChangeResult(ChangeStatus.FINISHED, record)
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


def parse_key_timestamp(idempotency_key: str) -> float | None:
    """Return the timestamp of a UUID version 7 in Unix seconds, or None for any other key."""
    text = idempotency_key.lower()
    if len(text) != UUID7_LENGTH or text[UUID7_VERSION_INDEX] != "7":
        return None
    try:
        return int(text[:8] + text[9:13], 16) / 1000
    except ValueError:
        return None
