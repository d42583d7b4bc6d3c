"""The limit of attempts of one model request.

Only consecutive attempts without a new token count, so that unrelated endpoint crashes don't end a
long response, while a request that fails every attempt does not retry forever.
"""

import random
import time
from collections.abc import AsyncIterator

import pytest
from ragwortpaddled.coordination._generation import (
    MAX_ATTEMPTS_WITHOUT_PROGRESS,
    GenerationJob,
    Token,
    TokenGenerator,
)
from ragwortpaddled.errors import ConnectionBrokenError
from ragwortpaddled.protocol import Refusal
from ragwortpaddled.state import Pool

CRASHES = 3 * MAX_ATTEMPTS_WITHOUT_PROGRESS


class CrashingGenerator(TokenGenerator):
    """Generates some tokens in each attempt; the first ``CRASHES`` attempts end with a crash."""

    def __init__(self, tokens_per_attempt: int) -> None:
        super().__init__(None, None, None, None, None, "a", random.Random(1))
        self._tokens_per_attempt = tokens_per_attempt

    async def _wait_for_chain(self, job: GenerationJob) -> list:
        return []

    async def _handle_failure(self, job: GenerationJob, error: Exception) -> None:
        job.failed_endpoints.append("engine-1")

    async def _run_attempt(self, job: GenerationJob, chain: list) -> AsyncIterator[Token]:
        for _ in range(self._tokens_per_attempt):
            job.generated_tokens.append(7)
            yield Token("x", end=False)
        if job.attempts <= CRASHES:
            raise ConnectionBrokenError("engine-1", "connection reset")


def make_job() -> GenerationJob:
    pool = Pool("pedal-chat", "model", model="pedal", layers=12)
    return GenerationJob("r1", "team", pool, "prompt", "digest", 1000, 1, time.monotonic() + 60)


class TestAttemptLimit:
    async def test_request_that_makes_progress_survives_many_crashes(self) -> None:
        tokens = [token async for token in CrashingGenerator(1).generate(make_job())]
        assert len(tokens) == CRASHES + 1

    async def test_request_without_progress_is_refused_after_the_maximum_attempts(self) -> None:
        job = make_job()
        with pytest.raises(Refusal, match="attempts failed"):
            async for _ in CrashingGenerator(0).generate(job):
                pass
        assert job.attempts == MAX_ATTEMPTS_WITHOUT_PROGRESS
