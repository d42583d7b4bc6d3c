"""The exception hierarchy of ragwortpaddle.

A class exists only where some code catches it by type. ``Refusal`` in ``protocol`` is the one
that is sent to callers.
"""


class RagwortpaddleError(Exception):
    """Base class of all errors that ragwortpaddle raises."""


class SettingsError(RagwortpaddleError):
    """A settings file is missing, malformed or invalid."""


class TransportError(RagwortpaddleError):
    """A request to another process failed."""


class NotSentError(TransportError):
    """The connection failed before any byte of the request was sent."""


class ReplyLostError(TransportError):
    """The request may have been received, but no complete reply arrived."""


class ReplyTimeoutError(ReplyLostError):
    """No reply arrived before the timeout."""


class ReplyTooLargeError(ReplyLostError):
    """A reply was ended here, because its size exceeds a limit."""


class PeerRefusedError(TransportError):
    """A peer's message was malformed or not authentic, or the peer rejected a message."""


class PlatformError(RagwortpaddleError):
    """A request to the platform's object API failed."""


class PlatformUnavailableError(PlatformError):
    """The platform did not serve the request, so a write had no effect."""


class WriteOutcomeUnknownError(PlatformError):
    """The reply to a write was lost; the write may or may not have taken effect."""


class VersionConflictError(PlatformError):
    """A conditional write expected a version that is not the current one."""

    def __init__(self, key: str, current: int) -> None:
        super().__init__(f"{key}: the current version is {current}")
        self.key = key
        self.current = current


class HistoryLostError(PlatformError):
    """The platform no longer has the changes since the requested revision."""


class ValueTooLargeError(PlatformError):
    """A value exceeds the size limit of the platform."""


class EndpointError(RagwortpaddleError):
    """An endpoint failed to process its part of a request."""

    def __init__(self, endpoint: str, reason: str) -> None:
        super().__init__(f"{endpoint}: {reason}")
        self.endpoint = endpoint
        self.reason = reason


class StepLostError(EndpointError):
    """An engine returned no result for a step."""


class StepTimeoutError(StepLostError):
    """An engine did not respond to a step before the timeout."""


class EndpointRefusedError(StepLostError):
    """No connection to an endpoint could be made, so nothing was sent."""


class ConnectionBrokenError(StepLostError):
    """The connection broke while a step was in progress."""


class StepRejectedError(EndpointError):
    """An engine returned an error for a step."""


class NotRunError(EndpointError):
    """An endpoint has not run a request and will not run it later."""


class UnreachableError(NotRunError):
    """No connection to an endpoint could be made, so nothing was sent."""


class PeerUnavailableError(NotRunError):
    """A peer does not forward requests to endpoints at present."""


class NoRoomError(NotRunError):
    """An endpoint rejected a request without delay, so it is up but has no capacity."""


class MaybeRunError(EndpointError):
    """An endpoint may have run a request, but returned no usable response."""


class ResponseLostError(MaybeRunError):
    """The endpoint closed the connection before its response was complete."""


class StalledError(MaybeRunError):
    """A request made no progress; ``endpoint`` is the engine that caused it, or empty."""


class UnresponsiveError(StalledError):
    """A request made no progress, and its engine did not respond to a report request either."""


class LinksLostError(MaybeRunError):
    """A request was sent over links to the endpoints that are lost; ``endpoint`` is empty."""


class RefusedError(RagwortpaddleError):
    """A request is rejected before any endpoint ran it; ``inputs`` explain the decision."""

    def __init__(
        self, status: int, reason: str, retry_after_seconds: float = 0.0, **inputs: object
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds
        self.inputs = inputs


class NoChainError(RagwortpaddleError):
    """The usable endpoints do not cover all layers of the model."""


class ObjectsError(RagwortpaddleError):
    """A configuration object, an endpoint entry or an engine report is malformed."""
