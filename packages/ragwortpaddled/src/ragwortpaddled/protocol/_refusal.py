"""Refusals: why a request gets no answer, and whether it ran."""

from enum import StrEnum

import msgspec

from ragwortpaddled.errors import RagwortpaddleError

EXECUTED_HEADER = b"Ragwortpaddle-Executed"
REQUEST_ID_HEADER = b"Ragwortpaddle-Request-Id"
ATTEMPT_HEADER = b"Ragwortpaddle-Attempt"
RETRY_AFTER_HEADER = b"Retry-After"


class Executed(StrEnum):
    """Whether a refused request ran; ``NO`` is a promise."""

    NO = "no"
    UNKNOWN = "unknown"


class ErrorBody(msgspec.Struct, frozen=True):
    """The error object of the callers' protocol."""

    message: str
    type: str
    code: str
    executed: str
    request_id: str


class _ErrorReply(msgspec.Struct, frozen=True):
    error: ErrorBody


class Refusal(RagwortpaddleError):
    """Ends a request with an honest error."""

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        executed: Executed = Executed.NO,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.executed = executed
        self.retry_after_seconds = retry_after_seconds

    def body(self, request_id: str) -> bytes:
        """Return the JSON body."""
        error_type = "invalid_request_error" if self.status < 500 else "server_error"
        error = ErrorBody(self.message, error_type, self.code, self.executed.value, request_id)
        return msgspec.json.encode(_ErrorReply(error))
