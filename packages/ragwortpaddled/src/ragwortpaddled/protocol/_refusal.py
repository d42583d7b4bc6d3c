"""Error responses to callers: why a request failed, and whether it was executed."""

from enum import StrEnum

import msgspec

from ragwortpaddled.errors import RagwortpaddleError

EXECUTED_HEADER = b"Ragwortpaddle-Executed"
REQUEST_ID_HEADER = b"Ragwortpaddle-Request-Id"
ATTEMPT_HEADER = b"Ragwortpaddle-Attempt"
RETRY_AFTER_HEADER = b"Retry-After"


class Executed(StrEnum):
    """Whether a failed request was executed; ``NO`` means that it certainly was not."""

    NO = "no"
    UNKNOWN = "unknown"


class ErrorBody(msgspec.Struct, frozen=True):
    """The error object of the callers' API."""

    message: str
    type: str
    code: str
    executed: str
    request_id: str


class _ErrorReply(msgspec.Struct, frozen=True):
    error: ErrorBody


class Refusal(RagwortpaddleError):
    """Ends a request with an error response that states whether the request was executed."""

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
        """Return the JSON body of the error response."""
        error_type = "invalid_request_error" if self.status < 500 else "server_error"
        error = ErrorBody(self.message, error_type, self.code, self.executed.value, request_id)
        return msgspec.json.encode(_ErrorReply(error))
