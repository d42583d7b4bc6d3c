"""The callers' protocol: chat and plain completions, whole and streamed."""

from typing import Literal, TypeVar

import msgspec

from ragwortpaddled.protocol._refusal import Refusal

T = TypeVar("T")

DEFAULT_MAX_TOKENS = 64
MAX_TOKENS_BOUND = 8192
DONE_EVENT = b"data: [DONE]\n\n"

Finish = Literal["stop", "length"]


class ContentPart(msgspec.Struct, frozen=True):
    """A part of a message; only text is served."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: str
    content: str | list[ContentPart] | None = None

    def text(self) -> str:
        """Return the text of the message."""
        if isinstance(self.content, list):
            return " ".join(part.text for part in self.content)
        return self.content or ""


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

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
    """The tokens that an answer took."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class AnswerMessage(msgspec.Struct, frozen=True):
    """The answer of a chat."""

    role: str
    content: str


class ChatChoice(msgspec.Struct, frozen=True):
    """The one choice of a whole chat answer."""

    index: int
    message: AnswerMessage
    finish_reason: Finish


class TextChoice(msgspec.Struct, frozen=True):
    """The one choice of a completion or of a piece of one."""

    index: int
    text: str
    finish_reason: Finish | None
    logprobs: None = None


class ChatDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """A piece of a chat answer."""

    role: str | None = None
    content: str | None = None


class DeltaChoice(msgspec.Struct, frozen=True):
    """The one choice of a piece of a chat answer."""

    index: int
    delta: ChatDelta
    finish_reason: Finish | None = None


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole answer or a piece of a streamed one."""

    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChoice | TextChoice] | list[DeltaChoice] | list[TextChoice]
    usage: Usage | None = None


class ModelEntry(msgspec.Struct, frozen=True):
    """One model that a team may call."""

    id: str
    created: int
    object: str = "model"
    owned_by: str = "ragwortpaddle"


class ModelList(msgspec.Struct, frozen=True):
    """The body of ``GET /v1/models``."""

    data: list[ModelEntry]
    object: str = "list"


class Prompt(msgspec.Struct, frozen=True):
    """What a caller asks of a model, in either form."""

    model: str
    text: str
    max_tokens: int
    stream: bool
    include_usage: bool
    chat: bool


def read_chat(body: bytes) -> Prompt:
    """Read the body of a chat request.

    :raises Refusal: it is malformed
    """
    request = _decode(body, ChatRequest)
    if not request.messages:
        raise _bad_request("messages is empty")
    text = "\n".join(f"{message.role}: {message.text()}" for message in request.messages)
    maximum = request.max_completion_tokens or request.max_tokens
    return _prompt(request, text, maximum, chat=True)


def read_completion(body: bytes) -> Prompt:
    """Read the body of a completion request.

    :raises Refusal: it is malformed
    """
    request = _decode(body, CompletionRequest)
    if not request.prompt.strip():
        raise _bad_request("prompt is empty")
    return _prompt(request, request.prompt, request.max_tokens, chat=False)


class AnswerWriter:
    """Writes the answer to one prompt in the form that its caller asked for."""

    def __init__(self, prompt: Prompt, request_id: str, created: int) -> None:
        self._prompt = prompt
        self._id = ("chatcmpl-" if prompt.chat else "cmpl-") + request_id
        self._created = created
        self._head, self._tail = self._frame()

    def opening(self) -> bytes:
        """Return the event that opens a stream, empty for plain completions."""
        if not self._prompt.chat:
            return b""
        return self._event([DeltaChoice(0, ChatDelta(role="assistant", content=""))])

    def piece(self, text: str) -> bytes:
        """Return the event of one piece of text."""
        return self._head + msgspec.json.encode(text) + self._tail

    def closing(self, finish: Finish, usage: Usage) -> bytes:
        """Return the events that end a complete stream."""
        if self._prompt.chat:
            last = self._event([DeltaChoice(0, ChatDelta(), finish)])
        else:
            last = self._event([TextChoice(0, "", finish)])
        if self._prompt.include_usage:
            last += self._event([], usage)
        return last + DONE_EVENT

    def whole(self, text: str, finish: Finish, usage: Usage) -> bytes:
        """Return the body of a whole answer."""
        if self._prompt.chat:
            choice: ChatChoice | TextChoice = ChatChoice(
                0, AnswerMessage("assistant", text), finish
            )
        else:
            choice = TextChoice(0, text, finish)
        return msgspec.json.encode(self._answer([choice], usage, streamed=False))

    def _frame(self) -> tuple[bytes, bytes]:
        """Return what stands around the text of a piece, which is encoded once."""
        marker = "\0"
        if self._prompt.chat:
            event = self._event([DeltaChoice(0, ChatDelta(content=marker))])
        else:
            event = self._event([TextChoice(0, marker, None)])
        head, _, tail = event.partition(msgspec.json.encode(marker))
        return head, tail

    def _event(
        self, choices: list[DeltaChoice] | list[TextChoice], usage: Usage | None = None
    ) -> bytes:
        answer = self._answer(choices, usage, streamed=True)
        return b"data: " + msgspec.json.encode(answer) + b"\n\n"

    def _answer(
        self,
        choices: list[ChatChoice | TextChoice] | list[DeltaChoice] | list[TextChoice],
        usage: Usage | None,
        *,
        streamed: bool,
    ) -> Answer:
        if self._prompt.chat:
            kind = "chat.completion.chunk" if streamed else "chat.completion"
        else:
            kind = "text_completion"
        return Answer(self._id, kind, self._created, self._prompt.model, choices, usage)


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the event that ends a stream that could not be completed."""
    return b"data: " + refusal.body(request_id) + b"\n\n"


def _prompt(
    request: ChatRequest | CompletionRequest, text: str, maximum: int | None, *, chat: bool
) -> Prompt:
    if maximum is not None and not 1 <= maximum <= MAX_TOKENS_BOUND:
        raise _bad_request(f"max_tokens must be between 1 and {MAX_TOKENS_BOUND}")
    options = request.stream_options
    return Prompt(
        model=request.model,
        text=text,
        max_tokens=maximum or DEFAULT_MAX_TOKENS,
        stream=request.stream,
        include_usage=options is not None and options.include_usage,
        chat=chat,
    )


def _decode(body: bytes, request_type: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=request_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _bad_request(f"malformed body: {error}") from error


def _bad_request(message: str) -> Refusal:
    return Refusal(400, "bad_request", message)
