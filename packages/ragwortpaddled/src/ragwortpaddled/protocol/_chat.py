"""The callers' API: chat and text completions, streamed or as one response."""

from typing import Literal, TypeVar

import msgspec

from ragwortpaddled.protocol._refusal import Refusal

T = TypeVar("T")

DEFAULT_MAX_TOKENS = 64
MAX_TOKENS_LIMIT = 8192
DONE_EVENT = b"data: [DONE]\n\n"

FinishReason = Literal["stop", "length"]


class ContentPart(msgspec.Struct, frozen=True):
    """One part of a message; only text parts are supported."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: str
    content: str | list[ContentPart] | None = None

    def text(self) -> str:
        """Return the text parts joined by spaces."""
        if isinstance(self.content, list):
            return " ".join(part.text for part in self.content)
        return self.content or ""


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed response."""

    include_usage: bool = False


class ChatRequest(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/chat/completions``; unknown fields are ignored."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None


class CompletionRequest(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/completions``."""

    model: str
    prompt: str
    stream: bool = False
    max_tokens: int | None = None
    stream_options: StreamOptions | None = None


class Usage(msgspec.Struct, frozen=True):
    """The token counts of one request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class AssistantMessage(msgspec.Struct, frozen=True):
    """The message that the model generated."""

    role: str
    content: str


class ChatChoice(msgspec.Struct, frozen=True):
    """The single choice of a chat response that is not streamed."""

    index: int
    message: AssistantMessage
    finish_reason: FinishReason


class TextChoice(msgspec.Struct, frozen=True):
    """The single choice of a text completion or of one of its stream events."""

    index: int
    text: str
    finish_reason: FinishReason | None
    logprobs: None = None


class ChatDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """The part of a chat message that one stream event adds."""

    role: str | None = None
    content: str | None = None


class DeltaChoice(msgspec.Struct, frozen=True):
    """The single choice of one event of a streamed chat response."""

    index: int
    delta: ChatDelta
    finish_reason: FinishReason | None = None


class CompletionBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a response, or of one event of a streamed response."""

    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChoice | TextChoice] | list[DeltaChoice] | list[TextChoice]
    usage: Usage | None = None


class ModelEntry(msgspec.Struct, frozen=True):
    """One model that a team may use."""

    id: str
    created: int
    object: str = "model"
    owned_by: str = "ragwortpaddle"


class ModelList(msgspec.Struct, frozen=True):
    """The body of ``GET /v1/models``."""

    data: list[ModelEntry]
    object: str = "list"


class GenerationRequest(msgspec.Struct, frozen=True):
    """A generation request, decoded from either request format."""

    model: str
    text: str
    max_tokens: int
    stream: bool
    include_usage: bool
    chat: bool


def parse_chat_request(body: bytes) -> GenerationRequest:
    """Parse the body of a chat request.

    :raises Refusal: the body is malformed or a value is invalid
    """
    request = _decode(body, ChatRequest)
    if not request.messages:
        raise _bad_request("messages must not be empty")
    text = "\n".join(f"{message.role}: {message.text()}" for message in request.messages)
    max_tokens = request.max_completion_tokens or request.max_tokens
    return _build_generation_request(request, text, max_tokens, chat=True)


def parse_completion_request(body: bytes) -> GenerationRequest:
    """Parse the body of a text completion request.

    :raises Refusal: the body is malformed or a value is invalid
    """
    request = _decode(body, CompletionRequest)
    if not request.prompt.strip():
        raise _bad_request("prompt must not be empty")
    return _build_generation_request(request, request.prompt, request.max_tokens, chat=False)


class CompletionEncoder:
    """Encodes the response to one request in the format of its API call."""

    def __init__(
        self, generation_request: GenerationRequest, request_id: str, created: int
    ) -> None:
        self._generation_request = generation_request
        self._id = ("chatcmpl-" if generation_request.chat else "cmpl-") + request_id
        self._created = created
        self._text_prefix, self._text_suffix = self._encode_text_frame()

    def encode_start(self) -> bytes:
        """Return the first event of a stream, empty for text completions."""
        if not self._generation_request.chat:
            return b""
        return self._encode_event([DeltaChoice(0, ChatDelta(role="assistant", content=""))])

    def encode_text(self, text: str) -> bytes:
        """Return the stream event for one piece of text."""
        return self._text_prefix + msgspec.json.encode(text) + self._text_suffix

    def encode_end(self, finish_reason: FinishReason, usage: Usage) -> bytes:
        """Return the events that end a complete stream: finish reason, usage if asked for, done."""
        if self._generation_request.chat:
            events = self._encode_event([DeltaChoice(0, ChatDelta(), finish_reason)])
        else:
            events = self._encode_event([TextChoice(0, "", finish_reason)])
        if self._generation_request.include_usage:
            events += self._encode_event([], usage)
        return events + DONE_EVENT

    def encode_response(self, text: str, finish_reason: FinishReason, usage: Usage) -> bytes:
        """Return the body of a response that is not streamed."""
        if self._generation_request.chat:
            choice: ChatChoice | TextChoice = ChatChoice(
                0, AssistantMessage("assistant", text), finish_reason
            )
        else:
            choice = TextChoice(0, text, finish_reason)
        return msgspec.json.encode(self._build_body([choice], usage, streamed=False))

    def _encode_text_frame(self) -> tuple[bytes, bytes]:
        """Return the bytes before and after the text of a text event.

        They are the same in all text events of a stream and so are encoded once.
        """
        placeholder = "\0"
        if self._generation_request.chat:
            event = self._encode_event([DeltaChoice(0, ChatDelta(content=placeholder))])
        else:
            event = self._encode_event([TextChoice(0, placeholder, None)])
        prefix, _, suffix = event.partition(msgspec.json.encode(placeholder))
        return prefix, suffix

    def _encode_event(
        self, choices: list[DeltaChoice] | list[TextChoice], usage: Usage | None = None
    ) -> bytes:
        body = self._build_body(choices, usage, streamed=True)
        return b"data: " + msgspec.json.encode(body) + b"\n\n"

    def _build_body(
        self,
        choices: list[ChatChoice | TextChoice] | list[DeltaChoice] | list[TextChoice],
        usage: Usage | None,
        *,
        streamed: bool,
    ) -> CompletionBody:
        if self._generation_request.chat:
            object_type = "chat.completion.chunk" if streamed else "chat.completion"
        else:
            object_type = "text_completion"
        return CompletionBody(
            self._id, object_type, self._created, self._generation_request.model, choices, usage
        )


def encode_error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the error event that ends an incomplete stream."""
    return b"data: " + refusal.body(request_id) + b"\n\n"


def _build_generation_request(
    request: ChatRequest | CompletionRequest, text: str, max_tokens: int | None, *, chat: bool
) -> GenerationRequest:
    if max_tokens is not None and not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise _bad_request(f"max_tokens is {max_tokens}, must be between 1 and {MAX_TOKENS_LIMIT}")
    options = request.stream_options
    return GenerationRequest(
        model=request.model,
        text=text,
        max_tokens=max_tokens or DEFAULT_MAX_TOKENS,
        stream=request.stream,
        include_usage=options is not None and options.include_usage,
        chat=chat,
    )


def _decode(body: bytes, request_type: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=request_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _bad_request(f"malformed request body: {error}") from error


def _bad_request(message: str) -> Refusal:
    return Refusal(400, "bad_request", message)
