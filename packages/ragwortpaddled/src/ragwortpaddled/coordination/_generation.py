"""Runs model requests: repeats attempts over chains of endpoints until the response is complete.

A new attempt resumes after the tokens already generated, so that the caller receives each token
exactly once and in order.
"""

import asyncio
import logging
import random
import time
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass, field

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._chain import ChainContext, SequenceSize, choose_chain
from ragwortpaddled.coordination._endpoint_directory import EndpointDirectory
from ragwortpaddled.coordination._quarantine import QuarantineTracker
from ragwortpaddled.coordination._recent_requests import RecentRequests
from ragwortpaddled.coordination._recovery import RecoveryLimiter
from ragwortpaddled.coordination._stage_client import StageClient
from ragwortpaddled.errors import ConnectionBrokenError, EndpointError, NoChainError
from ragwortpaddled.protocol import EngineClient, Executed, Refusal, SequenceRef, Step
from ragwortpaddled.state import Endpoint, Pool

MAX_ATTEMPTS_WITHOUT_PROGRESS = 8
CHAIN_RETRY_INTERVAL_SECONDS = 0.1
MAX_CHAIN_WAIT_SECONDS = 3.0
SUSPECT_RETRY_DELAY_SECONDS = 0.4
CHARACTERS_PER_TOKEN = 4
MAX_CACHED_PREFIXES = 4096
PREFIX_KEY_CHARACTERS = 256

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class GenerationJob:
    """One model request; ``deadline``, on the monotonic clock, applies to the first token."""

    request_id: str
    team: str
    pool: Pool
    prompt: str
    content_digest: str
    max_tokens: int
    priority: int
    deadline: float
    prompt_tokens: int = 0
    generated_tokens: list[int] = field(default_factory=list)
    attempts: int = 0
    failed_endpoints: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Token:
    """One generated token; ``end`` is set if the model ended its response with it."""

    text: str
    end: bool


class TokenGenerator:
    """Runs model requests over chains of endpoints and resumes them after failures."""

    def __init__(
        self,
        endpoint_directory: EndpointDirectory,
        engines: EngineClient,
        quarantine_tracker: QuarantineTracker,
        recovery_limiter: RecoveryLimiter,
        recent_requests: RecentRequests,
        data_centre: str,
        random_source: random.Random,
    ) -> None:
        self._endpoint_directory = endpoint_directory
        self._engines = engines
        self._quarantine_tracker = quarantine_tracker
        self._recovery_limiter = recovery_limiter
        self._recent_requests = recent_requests
        self._data_centre = data_centre
        self._random = random_source
        self._client_by_endpoint: dict[str, StageClient] = {}
        self._endpoints_by_cached_prefix: dict[str, frozenset[str]] = {}

    async def generate(self, job: GenerationJob) -> AsyncGenerator[Token, None]:
        """Yield the tokens of a response, resuming on another chain when a stage fails.

        :raises Refusal: the response cannot be completed
        """
        attempts_without_progress = 0
        while True:
            job.attempts += 1
            tokens_before = len(job.generated_tokens)
            chain = await self._wait_for_chain(job)
            try:
                async for token in self._run_attempt(job, chain):
                    yield token
                return
            except EndpointError as error:
                await self._handle_failure(job, error)
            # A long response may be hit by several unrelated crashes, so the count restarts after
            # an attempt that generated a token.
            attempts_without_progress = (
                attempts_without_progress + 1 if len(job.generated_tokens) == tokens_before else 1
            )
            if attempts_without_progress >= MAX_ATTEMPTS_WITHOUT_PROGRESS:
                raise Refusal(
                    503,
                    "endpoints_failed",
                    f"{attempts_without_progress} consecutive attempts failed "
                    f"without generating a token, the last at endpoint {job.failed_endpoints[-1]}",
                    executed=Executed.UNKNOWN,
                    retry_after_seconds=2.0,
                )

    async def close(self) -> None:
        """Send the pending sequence releases to the endpoints."""
        await asyncio.gather(*(client.close() for client in self._client_by_endpoint.values()))

    async def _wait_for_chain(self, job: GenerationJob) -> list[Endpoint]:
        """Select a chain; a retry waits up to ``MAX_CHAIN_WAIT_SECONDS`` for endpoints to recover.

        :raises Refusal: no usable endpoints cover all layers
        """
        started_at = time.monotonic()
        max_wait_seconds = MAX_CHAIN_WAIT_SECONDS if job.attempts > 1 else 0.0
        while True:
            try:
                return self._select_chain(job)
            except NoChainError as error:
                if time.monotonic() - started_at >= max_wait_seconds:
                    raise Refusal(
                        503,
                        "no_endpoints",
                        str(error),
                        executed=Executed.NO if job.attempts == 1 else Executed.UNKNOWN,
                        retry_after_seconds=2.0,
                    ) from error
            await asyncio.sleep(CHAIN_RETRY_INTERVAL_SECONDS)

    def _select_chain(self, job: GenerationJob) -> list[Endpoint]:
        prompt_tokens = job.prompt_tokens or max(1, len(job.prompt) // CHARACTERS_PER_TOKEN)
        size = SequenceSize(
            prompt_tokens + len(job.generated_tokens), job.max_tokens - len(job.generated_tokens)
        )
        now = time.monotonic()
        cached = self._endpoints_by_cached_prefix.get(
            job.prompt[:PREFIX_KEY_CHARACTERS], frozenset()
        )
        context = ChainContext(now, self._data_centre, cached, frozenset(job.failed_endpoints[-1:]))
        endpoints = self._endpoint_directory.endpoints.in_pool(job.pool.name)
        try:
            return choose_chain(endpoints, job.pool.layers, size, context, self._random)
        except NoChainError:
            # The endpoint that failed last may be the only one that serves its layers.
            context = ChainContext(now, self._data_centre, cached)
            return choose_chain(endpoints, job.pool.layers, size, context, self._random)

    async def _run_attempt(self, job: GenerationJob, chain: list[Endpoint]) -> AsyncIterator[Token]:
        clients = [self._get_client(endpoint) for endpoint in chain]
        endpoint_names = ", ".join(endpoint.name for endpoint in chain)
        self._recent_requests.add_note(
            job.request_id, f"attempt {job.attempts} over {endpoint_names}"
        )
        sequence = SequenceRef(job.request_id, job.attempts)
        for client in clients:
            client.open_sequence()
        try:
            is_suspect = self._quarantine_tracker.is_suspect(job.content_digest)
            async with self._recovery_limiter.prefill_slot(
                is_retry=job.attempts > 1, is_suspect=is_suspect
            ):
                with telemetry.tracer.start_as_current_span(
                    "prefill", attributes={"attempt": job.attempts, "chain": endpoint_names}
                ):
                    token, position = await self._prefill(job, clients)
            if job.attempts > 1:
                self._quarantine_tracker.clear_suspicion(job.content_digest, job.request_id)
            self._record_prefix(job, chain)
            while True:
                job.generated_tokens.append(token.id)
                yield Token(token.text, token.end)
                if token.end or len(job.generated_tokens) >= job.max_tokens:
                    return
                token = await self._decode(job, clients, position)
                position += 1
        finally:
            for client in clients:
                client.release(sequence)

    async def _prefill(
        self, job: GenerationJob, clients: list[StageClient]
    ) -> "tuple[_GeneratedToken, int]":
        """Prefill the prompt and the tokens generated so far; return a token and its position."""
        hidden: tuple[int, ...] = ()
        count = max(2, len(job.prompt) // CHARACTERS_PER_TOKEN)
        result = None
        for index, client in enumerate(clients):
            report = client.endpoint.report
            step = Step(
                job.request_id,
                job.attempts,
                0,
                report.first_layer,
                report.end_layer,
                prompt=job.prompt if index == 0 else "",
                tokens=tuple(job.generated_tokens) if index == 0 else (),
                hidden=hidden,
                priority=job.priority,
            )
            result = await client.run(step, count)
            if index < len(clients) - 1:
                hidden = result.hidden
                count = max(2, len(hidden))
        assert result is not None
        position = len(hidden) if len(clients) > 1 else result.hidden[0]
        job.prompt_tokens = position - len(job.generated_tokens)
        return _GeneratedToken(result.token, result.text, result.end), position

    async def _decode(
        self, job: GenerationJob, clients: list[StageClient], position: int
    ) -> "_GeneratedToken":
        """Run one decode step for the last generated token through the chain."""
        tokens: tuple[int, ...] = (job.generated_tokens[-1],)
        hidden: tuple[int, ...] = ()
        result = None
        for client in clients:
            report = client.endpoint.report
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
            result = await client.run(step, 1)
            tokens, hidden = (), result.hidden
        assert result is not None
        return _GeneratedToken(result.token, result.text, result.end)

    def _get_client(self, endpoint: Endpoint) -> StageClient:
        client = self._client_by_endpoint.get(endpoint.name)
        if client is None or client.endpoint is not endpoint:
            client = StageClient(endpoint, self._engines, self._endpoint_directory.update_report)
            self._client_by_endpoint[endpoint.name] = client
        return client

    def _record_prefix(self, job: GenerationJob, chain: list[Endpoint]) -> None:
        if len(self._endpoints_by_cached_prefix) >= MAX_CACHED_PREFIXES:
            self._endpoints_by_cached_prefix.clear()
        endpoint_names = frozenset(endpoint.name for endpoint in chain)
        self._endpoints_by_cached_prefix[job.prompt[:PREFIX_KEY_CHARACTERS]] = endpoint_names

    async def _handle_failure(self, job: GenerationJob, error: EndpointError) -> None:
        job.failed_endpoints.append(error.endpoint)
        summary = (
            f"attempt {job.attempts} failed at {error.endpoint} "
            f"after {len(job.generated_tokens)} tokens"
        )
        self._recent_requests.add_note(job.request_id, f"{summary}: {error.reason}")
        telemetry.recoveries.add(1, {"cause": type(error).__name__})
        logger.info("attempt %d failed at %s: %s", job.attempts, error.endpoint, error.reason)
        await self._quarantine_tracker.record_failure(job.content_digest, job.request_id, error)
        self._quarantine_tracker.refuse_if_quarantined(job.content_digest, Executed.UNKNOWN)
        if isinstance(error, ConnectionBrokenError) and not job.generated_tokens:
            # A request that crashed an endpoint before its first token is the likelier cause.
            # Delay it, so that the other requests of that endpoint can succeed elsewhere first.
            await asyncio.sleep(SUSPECT_RETRY_DELAY_SECONDS * job.attempts)


@dataclass(frozen=True, slots=True)
class _GeneratedToken:
    """A token sampled by the last stage."""

    id: int
    text: str
    end: bool
