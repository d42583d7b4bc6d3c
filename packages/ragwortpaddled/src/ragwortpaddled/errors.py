"""The exception tree of ragwortpaddle.

Only what is caught by type somewhere has a type of its own; ``Refusal`` in ``protocol`` is the
one that callers see.
"""


class RagwortpaddleError(Exception):
    """Base of every error that ragwortpaddle raises."""


class SettingsError(RagwortpaddleError):
    """A settings file is missing, malformed or fails validation."""


class TransportError(RagwortpaddleError):
    """An exchange with another process failed."""


class NotSentError(TransportError):
    """The connection failed before any byte of the request went out."""


class ReplyLostError(TransportError):
    """The request may have arrived, but its reply did not."""


class ReplyTimeoutError(ReplyLostError):
    """No reply came in time."""


class PeerRefusedError(TransportError):
    """A peer's message failed authentication or decoding."""


class PlatformError(RagwortpaddleError):
    """A call to the platform's object API failed."""


class PlatformUnavailableError(PlatformError):
    """The platform refused the call, so it had no effect."""


class WriteOutcomeUnknownError(PlatformError):
    """A write's reply was lost, so it may or may not have taken effect."""


class VersionConflictError(PlatformError):
    """A conditional write named a version that is no longer current."""

    def __init__(self, key: str, current: int) -> None:
        super().__init__(f"{key} is at version {current}")
        self.key = key
        self.current = current


class HistoryLostError(PlatformError):
    """The platform no longer holds the changes since a revision."""


class ValueTooLargeError(PlatformError):
    """A value exceeds the platform's size limit."""


class EndpointError(RagwortpaddleError):
    """An endpoint failed to do its part of a request."""

    def __init__(self, endpoint: str, reason: str) -> None:
        super().__init__(f"{endpoint}: {reason}")
        self.endpoint = endpoint
        self.reason = reason


class StepLostError(EndpointError):
    """An engine gave no result of a step."""


class StepTimeoutError(StepLostError):
    """An engine did not answer a step in time."""


class EndpointRefusedError(StepLostError):
    """An endpoint refused the connection, so nothing was sent."""


class ConnectionBrokenError(StepLostError):
    """The connection broke while a step was under way."""


class StepRejectedError(EndpointError):
    """An engine answered a step with an error."""


class NotRunError(EndpointError):
    """An endpoint certainly did not run a request, and never will."""


class NoRoomError(NotRunError):
    """An endpoint refused a request at once, so it lives."""


class MaybeRunError(EndpointError):
    """An endpoint may have run a request, but gave no usable answer."""


class StalledError(MaybeRunError):
    """A request made no progress; the endpoint is the one to blame, or empty if none is."""


class RefusedError(RagwortpaddleError):
    """A request is refused before any endpoint ran it; the inputs are what decided it."""

    def __init__(
        self, status: int, reason: str, retry_after_seconds: float = 0.0, **inputs: object
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds
        self.inputs = inputs


class NoChainError(RagwortpaddleError):
    """No set of usable endpoints covers every layer of the model."""


class ObjectsError(RagwortpaddleError):
    """An operators' object is malformed."""
