"""Drives one model request: attempts over chains until every token is out, once and in order."""

import asyncio
import logging
import random
import time
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass, field

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._chain import ChainContext, Work, choose_chain
from ragwortpaddled.coordination._directory import Directory
from ragwortpaddled.coordination._journal import Journal
from ragwortpaddled.coordination._quarantine import Quarantines
from ragwortpaddled.coordination._recovery import RecoveryGate
from ragwortpaddled.coordination._stage import StageLink
from ragwortpaddled.errors import ConnectionBrokenError, EndpointError, NoChainError
from ragwortpaddled.protocol import EngineClient, Executed, Refusal, SequenceRef, Step
from ragwortpaddled.state import Endpoint, Pool

MAX_ATTEMPTS = 8
NO_CHAIN_PAUSE_SECONDS = 0.1
NO_CHAIN_PATIENCE_SECONDS = 3.0
SUSPECT_PAUSE_SECONDS = 0.4
CHARACTERS_PER_TOKEN = 4
MAX_PREFIX_HINTS = 4096
PREFIX_CHARACTERS = 256

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Job:
    """One model request; ``deadline`` on the monotonic clock covers the first token."""

    request_id: str
    team: str
    pool: Pool
    prompt: str
    content_digest: str
    max_tokens: int
    priority: int
    deadline: float
    prompt_tokens: int = 0
    answer: list[int] = field(default_factory=list)
    attempts: int = 0
    failed_endpoints: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Token:
    """One token of an answer; ``end`` marks the model's own end."""

    text: str
    end: bool


class Generator:
    """Runs jobs over the endpoints of the directory."""

    def __init__(
        self,
        directory: Directory,
        engines: EngineClient,
        quarantines: Quarantines,
        recovery: RecoveryGate,
        journal: Journal,
        data_centre: str,
        random_source: random.Random,
    ) -> None:
        self._directory = directory
        self._engines = engines
        self._quarantines = quarantines
        self._recovery = recovery
        self._journal = journal
        self._data_centre = data_centre
        self._random = random_source
        self._link_by_endpoint: dict[str, StageLink] = {}
        self._prefix_hints: dict[str, frozenset[str]] = {}

    async def generate(self, job: Job) -> AsyncGenerator[Token, None]:
        """Yield the tokens of an answer, going on elsewhere when a stage fails.

        :raises Refusal: the answer cannot be completed
        """
        fruitless = 0
        while True:
            job.attempts += 1
            held = len(job.answer)
            chain = await self._wait_for_chain(job)
            try:
                async for token in self._attempt(job, chain):
                    yield token
                return
            except EndpointError as error:
                await self._note_failure(job, error)
            # A long answer may outlive several crashes that are none of its doing.
            fruitless = fruitless + 1 if len(job.answer) == held else 1
            if fruitless >= MAX_ATTEMPTS:
                raise Refusal(
                    503,
                    "endpoints_failed",
                    f"{fruitless} attempts failed without a token between them, "
                    f"the last at {job.failed_endpoints[-1]}",
                    executed=Executed.UNKNOWN,
                    retry_after_seconds=2.0,
                )

    async def close(self) -> None:
        """Send the releases that are due."""
        await asyncio.gather(*(link.close() for link in self._link_by_endpoint.values()))

    async def _wait_for_chain(self, job: Job) -> list[Endpoint]:
        """Choose a chain, waiting a little for endpoints to come back."""
        started_at = time.monotonic()
        patience = NO_CHAIN_PATIENCE_SECONDS if job.attempts > 1 else 0.0
        while True:
            try:
                return self._choose(job)
            except NoChainError as error:
                if time.monotonic() - started_at >= patience:
                    raise Refusal(
                        503,
                        "no_endpoints",
                        str(error),
                        executed=Executed.NO if job.attempts == 1 else Executed.UNKNOWN,
                        retry_after_seconds=2.0,
                    ) from error
            await asyncio.sleep(NO_CHAIN_PAUSE_SECONDS)

    def _choose(self, job: Job) -> list[Endpoint]:
        prompt_tokens = job.prompt_tokens or max(1, len(job.prompt) // CHARACTERS_PER_TOKEN)
        work = Work(prompt_tokens + len(job.answer), job.max_tokens - len(job.answer))
        now = time.monotonic()
        cached = self._prefix_hints.get(job.prompt[:PREFIX_CHARACTERS], frozenset())
        context = ChainContext(now, self._data_centre, cached, frozenset(job.failed_endpoints[-1:]))
        endpoints = self._directory.endpoints.in_pool(job.pool.name)
        try:
            return choose_chain(endpoints, job.pool.layers, work, context, self._random)
        except NoChainError:
            # The endpoint that just failed may be the only one that holds its layers.
            context = ChainContext(now, self._data_centre, cached)
            return choose_chain(endpoints, job.pool.layers, work, context, self._random)

    async def _attempt(self, job: Job, chain: list[Endpoint]) -> AsyncIterator[Token]:
        links = [self._link(endpoint) for endpoint in chain]
        names = ", ".join(endpoint.name for endpoint in chain)
        self._journal.note(job.request_id, f"attempt {job.attempts} over {names}")
        reference = SequenceRef(job.request_id, job.attempts)
        for link in links:
            link.open_sequence()
        try:
            suspect = self._quarantines.is_suspect(job.content_digest)
            async with self._recovery.place(repeated=job.attempts > 1, suspect=suspect):
                with telemetry.tracer.start_as_current_span(
                    "prefill", attributes={"attempt": job.attempts, "chain": names}
                ):
                    token, position = await self._prefill(job, links)
            if job.attempts > 1:
                self._quarantines.exonerate(job.content_digest, job.request_id)
            self._remember_prefix(job, chain)
            while True:
                job.answer.append(token.id)
                yield Token(token.text, token.end)
                if token.end or len(job.answer) >= job.max_tokens:
                    return
                token = await self._decode(job, links, position)
                position += 1
        finally:
            for link in links:
                link.release(reference)

    async def _prefill(self, job: Job, links: list[StageLink]) -> "tuple[_Chosen, int]":
        """Run the prompt and what is already answered through the chain."""
        hidden: tuple[int, ...] = ()
        count = max(2, len(job.prompt) // CHARACTERS_PER_TOKEN)
        result = None
        for index, link in enumerate(links):
            report = link.endpoint.report
            step = Step(
                job.request_id,
                job.attempts,
                0,
                report.first_layer,
                report.end_layer,
                prompt=job.prompt if index == 0 else "",
                tokens=tuple(job.answer) if index == 0 else (),
                hidden=hidden,
                priority=job.priority,
            )
            result = await link.run(step, count)
            if index < len(links) - 1:
                hidden = result.hidden
                count = max(2, len(hidden))
        assert result is not None
        position = len(hidden) if len(links) > 1 else result.hidden[0]
        job.prompt_tokens = position - len(job.answer)
        return _Chosen(result.token, result.text, result.end), position

    async def _decode(self, job: Job, links: list[StageLink], position: int) -> "_Chosen":
        """Run the last token through the chain."""
        tokens: tuple[int, ...] = (job.answer[-1],)
        hidden: tuple[int, ...] = ()
        result = None
        for link in links:
            report = link.endpoint.report
            step = Step(
                job.request_id,
                job.attempts,
                position,
                report.first_layer,
                report.end_layer,
                tokens=tokens,
                hidden=hidden,
                priority=job.priority,
            )
            result = await link.run(step, 1)
            tokens, hidden = (), result.hidden
        assert result is not None
        return _Chosen(result.token, result.text, result.end)

    def _link(self, endpoint: Endpoint) -> StageLink:
        link = self._link_by_endpoint.get(endpoint.name)
        if link is None or link.endpoint is not endpoint:
            link = StageLink(endpoint, self._engines, self._directory.take_report)
            self._link_by_endpoint[endpoint.name] = link
        return link

    def _remember_prefix(self, job: Job, chain: list[Endpoint]) -> None:
        if len(self._prefix_hints) >= MAX_PREFIX_HINTS:
            self._prefix_hints.clear()
        names = frozenset(endpoint.name for endpoint in chain)
        self._prefix_hints[job.prompt[:PREFIX_CHARACTERS]] = names

    async def _note_failure(self, job: Job, error: EndpointError) -> None:
        job.failed_endpoints.append(error.endpoint)
        note = f"attempt {job.attempts} failed at {error.endpoint} after {len(job.answer)} tokens"
        self._journal.note(job.request_id, f"{note}: {error.reason}")
        telemetry.recoveries.add(1, {"cause": type(error).__name__})
        logger.info("attempt %d failed at %s: %s", job.attempts, error.endpoint, error.reason)
        await self._quarantines.note_failure(job.content_digest, job.request_id, error)
        self._quarantines.refuse_if_quarantined(job.content_digest, Executed.UNKNOWN)
        if isinstance(error, ConnectionBrokenError) and not job.answer:
            # A request that never got past its prompt is the likelier cause: let those that
            # shared its endpoint clear themselves first.
            await asyncio.sleep(SUSPECT_PAUSE_SECONDS * job.attempts)


@dataclass(frozen=True, slots=True)
class _Chosen:
    """A token chosen by the last stage."""

    id: int
    text: str
    end: bool
