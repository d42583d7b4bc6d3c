"""Open-loop load generator: sends requests on schedule, whether or not earlier ones have ended.

Latencies are measured from the scheduled arrival, so that the time that requests wait for a stalled
system is included (no coordinated omission).
"""

import asyncio
import json
import random
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from aiohttp import ClientResponse, ClientSession, ClientTimeout, DummyCookieJar, TCPConnector
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
REQUEST_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request, to be sent ``due_seconds`` after the start of the run."""

    due_seconds: float
    kind: str
    token: str
    prompt: str
    max_tokens: int


@dataclass(slots=True)
class Outcome:
    """The result of one request; times are in seconds after its scheduled arrival.

    ``token_times`` are in seconds after the start of the run. ``executed`` is the response header
    ``Ragwortpaddle-Executed``, or the exception class if the request failed.
    """

    arrival: Arrival
    status: int = 0
    executed: str = ""
    first_token_seconds: float = 0.0
    total_seconds: float = 0.0
    tokens: int = 0
    complete: bool = False
    longest_token_gap: float = 0.0
    inter_token_times: list[float] = field(default_factory=list)
    token_times: list[float] = field(default_factory=list)


def poisson_arrivals(
    rng: random.Random, rate: float, start: float, end: float, make_arrival: "ArrivalMaker"
) -> list[Arrival]:
    """Return the arrivals of a Poisson process with ``rate`` requests per second."""
    arrivals = []
    due_seconds = start + rng.expovariate(rate)
    while due_seconds < end:
        arrivals.append(make_arrival(due_seconds))
        due_seconds += rng.expovariate(rate)
    return arrivals


class ArrivalMaker:
    """Creates arrivals of one kind with random prompts and answer lengths (in tokens)."""

    def __init__(
        self,
        rng: random.Random,
        kind: str,
        token: str,
        answer_lengths: Sequence[int],
        prompt_word_count: int = 12,
    ) -> None:
        self._rng, self._kind, self._token = rng, kind, token
        self._answer_lengths, self._prompt_word_count = answer_lengths, prompt_word_count

    def __call__(self, due_seconds: float) -> Arrival:
        prompt = " ".join(str(self._rng.randrange(10_000)) for _ in range(self._prompt_word_count))
        return Arrival(
            due_seconds, self._kind, self._token, prompt, self._rng.choice(self._answer_lengths)
        )


def new_session(timeout_seconds: float) -> ClientSession:
    """Return an HTTP client session without a connection limit."""
    return ClientSession(
        connector=TCPConnector(limit=0),
        cookie_jar=DummyCookieJar(),
        timeout=ClientTimeout(total=timeout_seconds),
    )


async def send_load(urls: Sequence[str], arrivals: Iterable[Arrival]) -> list[Outcome]:
    """Send every arrival on schedule, to the daemons in rotation, and return all outcomes."""
    session = new_session(REQUEST_TIMEOUT_SECONDS)
    started_at = time.monotonic() + 0.2
    tasks = []
    try:
        for index, arrival in enumerate(sorted(arrivals, key=lambda item: item.due_seconds)):
            delay = started_at + arrival.due_seconds - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            url = urls[index % len(urls)]
            tasks.append(asyncio.create_task(_send_request(session, url, arrival, started_at)))
        return list(await asyncio.gather(*tasks))
    finally:
        await session.close()


async def _send_request(
    session: ClientSession, url: str, arrival: Arrival, started_at: float
) -> Outcome:
    outcome = Outcome(arrival)
    due_at = started_at + arrival.due_seconds
    body = json.dumps(
        {
            "model": "pedal-assistant",
            "messages": [{"role": "user", "content": arrival.prompt}],
            "max_tokens": arrival.max_tokens,
            "stream": True,
        }
    ).encode()
    headers = {"Authorization": f"Bearer {arrival.token}", "Content-Type": "application/json"}
    try:
        async with session.post(
            f"{url}/v1/chat/completions", data=body, headers=headers
        ) as response:
            outcome.status = response.status
            outcome.executed = response.headers.get("Ragwortpaddle-Executed", "")
            await _read_stream(response, outcome, due_at)
    except Exception as error:
        outcome.executed = outcome.executed or type(error).__name__
    outcome.total_seconds = time.monotonic() - due_at
    return outcome


async def _read_stream(response: ClientResponse, outcome: Outcome, due_at: float) -> None:
    last_token_at = 0.0
    tail = b""
    async for chunk in response.content.iter_any():
        now = time.monotonic()
        token_count = chunk.count(b'"content":"w')
        if token_count and not outcome.first_token_seconds:
            outcome.first_token_seconds = now - due_at
        elif token_count:
            outcome.longest_token_gap = max(outcome.longest_token_gap, now - last_token_at)
            outcome.inter_token_times.append((now - last_token_at) / token_count)
        if token_count:
            last_token_at = now
            outcome.token_times += [now - due_at + outcome.arrival.due_seconds] * token_count
            outcome.tokens += token_count
        tail = (tail + chunk)[-64:]
    outcome.complete = outcome.status == 200 and b"[DONE]" in tail


def build_histogram(values: Iterable[float]) -> HdrHistogram:
    """Return a histogram, in microseconds, of times in seconds."""
    histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(max(MIN_LATENCY_US, int(value * 1e6)))
    return histogram


def percentile_ms(values: Iterable[float], percent: float) -> float:
    """Return a percentile, in milliseconds, of times in seconds."""
    return build_histogram(values).get_value_at_percentile(percent) / 1000
