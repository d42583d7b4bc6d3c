"""One model completion in progress: admission, token stream and clean-up."""

import asyncio
import time
from collections.abc import AsyncIterator

from ragwortpaddled import telemetry
from ragwortpaddled.coordination import Admission, Generator, Job
from ragwortpaddled.protocol import AnswerWriter, Executed, Finish, Refusal, Usage, error_event
from ragwortpaddled.state import Release, Route, Team


class Completion:
    """Generates one completion and holds its admission slot in the pool until it ends."""

    def __init__(
        self,
        admission: Admission,
        generator: Generator,
        release: Release,
        team: Team,
        route: Route,
        job: Job,
    ) -> None:
        self.finish_reason: Finish = "length"
        self._job = job
        self._route = route
        self._pool = admission.pool(route.pool)
        self._slot = self._pool.place(
            release, team, job.priority, job.max_tokens, max(0.0, job.deadline - time.monotonic())
        )
        self._token_stream = generator.generate(job)
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

    async def stream_events(self, writer: AnswerWriter, first: str) -> AsyncIterator[bytes]:
        """Yield the events of a streamed response.

        A stream that fails ends with an error event instead of the closing event, so that callers
        cannot mistake it for a complete one.
        """
        try:
            yield writer.opening() + (writer.piece(first) if first else b"")
            while True:
                try:
                    text = await self._next_text()
                except StopAsyncIteration:
                    break
                if text:
                    yield writer.piece(text)
            self._outcome = "answered"
            yield writer.closing(self.finish_reason, self.usage())
        except Refusal as refusal:
            self._outcome = "cut"
            refusal.executed = Executed.UNKNOWN
            yield error_event(refusal, self._job.request_id)
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
        prompt, completion = self._job.prompt_tokens, len(self._job.answer)
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
        self._pool.note_tokens(self._job.team, len(self._job.answer))
        telemetry.tokens.add(len(self._job.answer), {"route": self._route.name})
        telemetry.requests.add(1, {"route": self._route.name, "outcome": self._outcome})
        await self._slot.__aexit__(None, None, None)

    async def _next_text(self) -> str:
        token = await anext(self._token_stream)
        if token.end:
            self.finish_reason = "stop"
        return token.text
