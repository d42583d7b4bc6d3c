"""The messages and stored records of operations that run at most once."""

from enum import StrEnum

import msgspec


class OperationState(StrEnum):
    """The recorded state of the latest attempt of an operation."""

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not_run"


class ChangeStatus(StrEnum):
    """The decision on a change that a daemon requested for an operation."""

    GRANTED = "granted"
    IN_DOUBT = "in_doubt"
    FINISHED = "finished"
    KEY_REUSED = "key_reused"
    STALE = "stale"
    WITHHELD = "withheld"  # nothing was written, since records of a restored store may be missing


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """The recorded response of the endpoint; ``body_omitted`` if the body was too large to keep."""

    status: int
    content_type: str
    body: str
    body_omitted: bool = False


class OperationRecord(msgspec.Struct, frozen=True, array_like=True):
    """The latest attempt for one idempotency key; times are in seconds since the Unix epoch."""

    key: str
    attempt: str
    state: OperationState
    body_digest: str
    at: float
    expires_at: float
    outcome: Outcome | None = None


class Intent(msgspec.Struct, frozen=True, tag="intent"):
    """A request for permission to run an attempt."""

    key: str
    attempt: str
    body_digest: str
    at: float
    expires_at: float


class Completion(msgspec.Struct, frozen=True, tag="completion"):
    """The end of an attempt; without an outcome the attempt did not run."""

    key: str
    attempt: str
    body_digest: str
    at: float
    expires_at: float
    outcome: Outcome | None = None


class LostRecord(msgspec.Struct, frozen=True, tag="lost_record"):
    """A request to write a record again that the store may have lost in a restore."""

    record: OperationRecord

    @property
    def key(self) -> str:
        """Return the key of the record."""
        return self.record.key


Change = Intent | Completion | LostRecord


class ChangeResult(msgspec.Struct, frozen=True):
    """The verdict on a change, and the record on which it is based."""

    verdict: ChangeStatus
    record: OperationRecord | None = None
