"""One model completion in progress: admission, token stream and clean-up."""

import asyncio
import time
from collections.abc import AsyncIterator

from ragwortpaddled import telemetry
from ragwortpaddled.coordination import AdmissionController, GenerationJob, TokenGenerator
from ragwortpaddled.protocol import (
    CompletionEncoder,
    Executed,
    FinishReason,
    Refusal,
    Usage,
    encode_error_event,
)
from ragwortpaddled.state import Release, Route, Team


class CompletionStream:
    """Generates one completion and holds its admission slot in the pool until it ends."""

    def __init__(
        self,
        admission_controller: AdmissionController,
        token_generator: TokenGenerator,
        release: Release,
        team: Team,
        route: Route,
        job: GenerationJob,
    ) -> None:
        self.finish_reason: FinishReason = "length"
        self._job = job
        self._route = route
        self._pool = admission_controller.pool(route.pool)
        self._slot = self._pool.slot(
            release, team, job.priority, job.max_tokens, max(0.0, job.deadline - time.monotonic())
        )
        self._token_stream = token_generator.generate(job)
        self._holds_slot = False
        self._close_task: asyncio.Future[None] | None = None
        self._outcome = "caller_left"

    async def read_first_text(self) -> str:
        """Wait for admission and the first token and return its text.

        Called before the response headers are sent, so that a refusal keeps its HTTP status.
        """
        with telemetry.tracer.start_as_current_span("admission"):
            await self._slot.__aenter__()
        self._holds_slot = True
        try:
            return await self._next_text()
        except StopAsyncIteration:
            return ""
        except BaseException:
            await self.close()
            raise

    async def stream_events(self, encoder: CompletionEncoder, first: str) -> AsyncIterator[bytes]:
        """Yield the events of a streamed response.

        A stream that fails ends with an error event instead of the closing event, so that callers
        cannot mistake it for a complete one.
        """
        try:
            yield encoder.encode_start() + (encoder.encode_text(first) if first else b"")
            while True:
                try:
                    text = await self._next_text()
                except StopAsyncIteration:
                    break
                if text:
                    yield encoder.encode_text(text)
            self._outcome = "answered"
            yield encoder.encode_end(self.finish_reason, self.usage())
        except Refusal as refusal:
            self._outcome = "cut"
            refusal.executed = Executed.UNKNOWN
            yield encode_error_event(refusal, self._job.request_id)
        finally:
            await self.close()

    async def read_rest(self) -> str:
        """Return the text after the first token, once generation has ended."""
        parts = []
        while True:
            try:
                parts.append(await self._next_text())
            except StopAsyncIteration:
                self._outcome = "answered"
                return "".join(parts)

    def usage(self) -> Usage:
        """Return the number of prompt tokens, completion tokens and their sum."""
        prompt, completion = self._job.prompt_tokens, len(self._job.generated_tokens)
        return Usage(prompt, completion, prompt + completion)

    def schedule_close(self) -> None:
        """Schedule ``close`` from a synchronous callback; has no effect on a closed completion."""
        if self._holds_slot:
            self._close_task = asyncio.ensure_future(self.close())

    async def close(self) -> None:
        """Stop generation, record the token counts and release the admission slot."""
        if not self._holds_slot:
            return
        self._holds_slot = False
        await self._token_stream.aclose()
        self._pool.record_tokens(self._job.team, len(self._job.generated_tokens))
        telemetry.tokens.add(len(self._job.generated_tokens), {"route": self._route.name})
        telemetry.requests.add(1, {"route": self._route.name, "outcome": self._outcome})
        await self._slot.__aexit__(None, None, None)

    async def _next_text(self) -> str:
        token = await anext(self._token_stream)
        if token.end:
            self.finish_reason = "stop"
        return token.text
