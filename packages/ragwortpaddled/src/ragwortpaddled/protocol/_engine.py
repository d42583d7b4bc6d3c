"""The client of the endpoints' protocol: steps, cancellation, load reports and orders."""

from typing import TypeVar

import msgspec

from ragwortpaddled.errors import (
    ConnectionBrokenError,
    EndpointRefusedError,
    NotSentError,
    ReplyLostError,
    ReplyTimeoutError,
    StepLostError,
    StepTimeoutError,
    TransportError,
)
from ragwortpaddled.telemetry import trace_headers
from ragwortpaddled.transport import HttpExchange, HttpReply

T = TypeVar("T")

MSGPACK_CONTENT_TYPE = b"application/msgpack"
STATUS_TIMEOUT_SECONDS = 1.0
CANCEL_TIMEOUT_SECONDS = 2.0
KV_TIMEOUT_SECONDS = 2.0


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of one attempt: runs its new token positions through the layers of one stage.

    The first stage receives ``prompt`` and ``tokens``; each other stage receives ``hidden``, the
    hidden states that the previous stage computed.
    """

    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int
    prompt: str = ""
    tokens: tuple[int, ...] = ()
    hidden: tuple[int, ...] = ()
    priority: int = 0


class StepResult(msgspec.Struct, frozen=True):
    """The result of a step, identified by its fields; the last stage sets ``token``, ``text``."""

    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int
    hidden: tuple[int, ...] = ()
    token: int = -1
    text: str = ""
    end: bool = False
    error: str = ""

    def matches(self, step: Step) -> bool:
        """Return whether this is the result of ``step``."""
        return (
            self.request == step.request
            and self.attempt == step.attempt
            and self.position == step.position
            and self.first_layer == step.first_layer
            and self.end_layer == step.end_layer
        )


class LoadReport(msgspec.Struct, frozen=True):
    """The state and load of an endpoint; plain services leave the model's fields empty."""

    model: str = ""
    version: str = ""
    first_layer: int = 0
    end_layer: int = 0
    layers: int = 0
    accelerator: str = ""
    max_batch: int = 0
    active: float = 0
    waiting: float = 0
    sequences: float = 0
    step_ms: float = 0.0
    prefill_ms_per_token: float = 0.0
    leaving: bool = False
    fencing: int = 0
    age_ms: float = 0.0


class StepsReply(msgspec.Struct, frozen=True):
    """The response to a request with steps: their results and the load of the engine."""

    results: list[StepResult]
    load: LoadReport


class SequenceRef(msgspec.Struct, frozen=True):
    """Identifies one attempt of one request."""

    request: str
    attempt: int


class Order(msgspec.Struct, frozen=True):
    """An order to serve a model version; ``fencing`` is the fencing token of the sender's lease."""

    fencing: int
    model: str
    version: str


class _StepsRequest(msgspec.Struct, frozen=True):
    steps: list[Step]


class EngineClient:
    """A client of engines, and of the status path that plain services have too."""

    def __init__(self, http: HttpExchange) -> None:
        self._http = http

    async def run_steps(
        self, endpoint: str, address: str, steps: list[Step], timeout_seconds: float
    ) -> StepsReply:
        """Run steps of any number of sequences with one request.

        :raises StepLostError: the request timed out or failed, or the response is unusable
        """
        try:
            reply = await self._http.exchange(
                "POST",
                f"http://{address}/v1/steps",
                body=msgspec.msgpack.encode(_StepsRequest(steps)),
                content_type=MSGPACK_CONTENT_TYPE,
                headers=trace_headers(),
                timeout_seconds=timeout_seconds,
            )
            if reply.status != 200:
                raise StepLostError(endpoint, f"HTTP status {reply.status}")
            return msgspec.msgpack.decode(reply.body, type=StepsReply)
        except (TransportError, msgspec.MsgspecError) as error:
            raise _step_error(endpoint, error) from error

    async def get_status(self, endpoint: str, address: str) -> LoadReport:
        """Return the load report of an endpoint.

        :raises StepLostError: the request failed or the response is malformed
        """
        try:
            reply = await self._http.exchange(
                "GET", f"http://{address}/v1/status", timeout_seconds=STATUS_TIMEOUT_SECONDS
            )
            return _decode(reply, LoadReport)
        except (TransportError, msgspec.MsgspecError) as error:
            raise _step_error(endpoint, error) from error

    async def cancel(self, endpoint: str, address: str, sequences: list[SequenceRef]) -> None:
        """Release the resources that an engine holds for ended attempts.

        :raises StepLostError: the request failed; the engine may have received it
        """
        try:
            await self._http.exchange(
                "POST",
                f"http://{address}/v1/cancel",
                body=msgspec.json.encode(sequences),
                timeout_seconds=CANCEL_TIMEOUT_SECONDS,
            )
        except TransportError as error:
            raise _step_error(endpoint, error) from error

    async def send_order(
        self, endpoint: str, address: str, order: Order, timeout_seconds: float
    ) -> bool:
        """Send an order; return False if the engine rejected it, such as for a stale fencing token.

        :raises StepLostError: the engine may or may not have received the order
        """
        try:
            reply = await self._http.exchange(
                "POST",
                f"http://{address}/v1/orders",
                body=msgspec.json.encode(order),
                timeout_seconds=timeout_seconds,
                fresh_connection=True,
            )
        except TransportError as error:
            raise _step_error(endpoint, error) from error
        return reply.status == 200


def _step_error(endpoint: str, error: Exception) -> StepLostError:
    if isinstance(error, NotSentError):
        return EndpointRefusedError(endpoint, str(error))
    if isinstance(error, ReplyTimeoutError):
        return StepTimeoutError(endpoint, str(error))
    if isinstance(error, ReplyLostError):
        return ConnectionBrokenError(endpoint, str(error))
    return StepLostError(endpoint, str(error))


def _decode(reply: HttpReply, message_type: type[T]) -> T:
    return msgspec.json.decode(reply.body, type=message_type)
