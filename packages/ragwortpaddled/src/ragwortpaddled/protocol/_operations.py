"""The wire types of operations that run at most once."""

from enum import StrEnum

import msgspec


class OperationState(StrEnum):
    """How far an operation's latest attempt is known to have come."""

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not_run"


class Verdict(StrEnum):
    """The answer to a daemon that wants to run an attempt."""

    GRANTED = "granted"
    IN_DOUBT = "in_doubt"
    FINISHED = "finished"
    KEY_REUSED = "key_reused"
    STALE = "stale"


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """The endpoint's recorded reply; a body over the bound is left out and said to be."""

    status: int
    content_type: str
    body: str
    body_omitted: bool = False


class OperationRecord(msgspec.Struct, frozen=True, array_like=True):
    """The latest attempt of one key; ``at`` is in seconds of the Unix epoch."""

    key: str
    attempt: str
    state: OperationState
    body_digest: str
    at: float
    expires_at: float
    outcome: Outcome | None = None


class Intent(msgspec.Struct, frozen=True, tag="intent"):
    """A daemon's wish to run an attempt."""

    key: str
    attempt: str
    body_digest: str
    at: float
    expires_at: float


class Completion(msgspec.Struct, frozen=True, tag="completion"):
    """What became of an attempt; without an outcome it has not run."""

    key: str
    attempt: str
    body_digest: str
    at: float
    expires_at: float
    outcome: Outcome | None = None


Change = Intent | Completion


class Judgement(msgspec.Struct, frozen=True):
    """The verdict on a change, with the record that decided it."""

    verdict: Verdict
    record: OperationRecord | None = None
