"""Attempts of one generation: how many failures an answer outlives."""

import random
import time
from collections.abc import AsyncIterator

import pytest
from ragwortpaddled.coordination._generation import MAX_ATTEMPTS, Generator, Job, Token
from ragwortpaddled.errors import ConnectionBrokenError
from ragwortpaddled.protocol import Refusal
from ragwortpaddled.state import Pool

CRASHES = 3 * MAX_ATTEMPTS


class CrashingGenerator(Generator):
    """Every attempt ends at a crashed endpoint, after some tokens, until the crashes are over."""

    def __init__(self, tokens_per_attempt: int) -> None:
        super().__init__(None, None, None, None, None, "a", random.Random(1))
        self._tokens_per_attempt = tokens_per_attempt

    async def _wait_for_chain(self, job: Job) -> list:
        return []

    async def _note_failure(self, job: Job, error: Exception) -> None:
        job.failed_endpoints.append("engine-1")

    async def _attempt(self, job: Job, chain: list) -> AsyncIterator[Token]:
        for _ in range(self._tokens_per_attempt):
            job.answer.append(7)
            yield Token("x", end=False)
        if job.attempts <= CRASHES:
            raise ConnectionBrokenError("engine-1", "gone")


def job() -> Job:
    pool = Pool("pedal-chat", "model", model="pedal", layers=12)
    return Job("r1", "team", pool, "prompt", "digest", 1000, 1, time.monotonic() + 60)


class TestAttempts:
    async def test_answer_that_goes_on_outlives_many_crashes(self) -> None:
        tokens = [token async for token in CrashingGenerator(1).generate(job())]
        assert len(tokens) == CRASHES + 1

    async def test_prompt_that_never_gets_anywhere_is_given_up(self) -> None:
        given = job()
        with pytest.raises(Refusal, match="attempts failed"):
            async for _ in CrashingGenerator(0).generate(given):
                pass
        assert given.attempts == MAX_ATTEMPTS
