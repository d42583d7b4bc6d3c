"""Sends steps to one endpoint, with the decode steps of several sequences in one exchange."""

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from typing import Any

from opentelemetry import trace

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._circuit_breakers import record_failure, record_success
from ragwortpaddled.errors import (
    EndpointError,
    StepLostError,
    StepRejectedError,
    StepTimeoutError,
)
from ragwortpaddled.protocol import EngineClient, LoadReport, SequenceRef, Step, StepResult
from ragwortpaddled.state import Endpoint

MAX_EXCHANGES_LARGE_BATCH = 8
MAX_EXCHANGES_SMALL_BATCH = 2
LARGE_BATCH_FRACTION = 0.25
MAX_PREFILL_EXCHANGES = 4
RELEASE_DELAY_SECONDS = 0.05
MAX_RELEASE_ATTEMPTS = 3

logger = logging.getLogger(__name__)

ReportCallback = Callable[[Endpoint, LoadReport], None]


@dataclass(slots=True, eq=False)
class _PendingStep:
    """A step that is queued or sent and has no result yet."""

    step: Step
    count: int
    context: trace.SpanContext
    result: asyncio.Future[StepResult] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class StageClient:
    """A client of one endpoint that batches decode steps and limits the open exchanges."""

    def __init__(
        self, endpoint: Endpoint, engines: EngineClient, on_report: ReportCallback
    ) -> None:
        self.endpoint = endpoint
        self._engines = engines
        self._on_report = on_report
        self._queued_steps: list[_PendingStep] = []
        self._open_decode_exchanges = 0
        self._prefill_slots = asyncio.Semaphore(MAX_PREFILL_EXCHANGES)
        self._releases: list[SequenceRef] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, step: Step, count: int) -> StepResult:
        """Run a step of ``count`` positions and return its result.

        :raises StepLostError: the endpoint returned no result
        :raises StepRejectedError: the endpoint returned an error
        """
        pending = _PendingStep(step, count, trace.get_current_span().get_span_context())
        if count > 1:
            async with self._prefill_slots:
                await self._exchange([pending])
        else:
            self._queued_steps.append(pending)
            self._send_decode_batches()
        result = await pending.result
        if result.error:
            raise StepRejectedError(self.endpoint.name, result.error)
        return result

    def open_sequence(self) -> None:
        """Count a new sequence that uses this stage."""
        self.endpoint.sequences += 1

    def release(self, sequence: SequenceRef) -> None:
        """Queue the release of the sequence of an ended attempt at the endpoint."""
        self.endpoint.sequences -= 1
        self._releases.append(sequence)
        if len(self._releases) == 1:
            self._start_task(self._send_releases())

    async def close(self) -> None:
        """Wait until all exchanges and pending releases have ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _send_decode_batches(self) -> None:
        while self._queued_steps and self._open_decode_exchanges < self._max_decode_exchanges():
            # An exchange holds one batch at most; with more, the first would wait for the last.
            batch = self._queued_steps[: self.endpoint.max_batch()]
            del self._queued_steps[: len(batch)]
            self._open_decode_exchanges += 1
            self._start_task(self._decode(batch))

    def _max_decode_exchanges(self) -> int:
        """Return the limit of open decode exchanges; a low one lets a small batch grow."""
        large_batch_size = self.endpoint.max_batch() * LARGE_BATCH_FRACTION
        return (
            MAX_EXCHANGES_LARGE_BATCH
            if len(self._queued_steps) >= large_batch_size
            else MAX_EXCHANGES_SMALL_BATCH
        )

    async def _decode(self, batch: list[_PendingStep]) -> None:
        try:
            await self._exchange(batch)
        finally:
            self._open_decode_exchanges -= 1
            self._send_decode_batches()

    async def _exchange(self, batch: list[_PendingStep]) -> None:
        """Send a batch and resolve its steps; endpoint failures are set on them, not raised."""
        endpoint = self.endpoint
        count = max(item.count for item in batch)
        started_at = time.monotonic()
        timeout_seconds = endpoint.step_deadline_ms(count, started_at) / 1000
        endpoint.circuit.record_start(started_at)
        endpoint.steps_in_flight += len(batch)
        try:
            with self._span(batch):
                response = await self._engines.run_steps(
                    endpoint.name,
                    endpoint.vm.address,
                    [item.step for item in batch],
                    timeout_seconds,
                )
        except StepLostError as error:
            self._record_failure(error)
            _fail_unresolved(batch, error)
            return
        except BaseException:
            endpoint.circuit.cancel_probe()
            _fail_unresolved(batch, StepLostError(endpoint.name, "cancelled"))
            raise
        finally:
            endpoint.steps_in_flight -= len(batch)
        self._record_latency(count, (time.monotonic() - started_at) * 1000)
        self._on_report(endpoint, response.load)
        self._resolve_steps(batch, response.results)

    def _span(self, batch: list[_PendingStep]) -> AbstractContextManager[trace.Span]:
        links = [trace.Link(item.context) for item in batch if item.context.is_valid]
        parent = trace.set_span_in_context(trace.NonRecordingSpan(batch[0].context))
        return telemetry.tracer.start_as_current_span(
            f"steps {self.endpoint.name}",
            context=parent,
            links=links,
            attributes={"endpoint": self.endpoint.name, "steps": len(batch)},
        )

    def _record_latency(self, count: int, elapsed_ms: float) -> None:
        endpoint = self.endpoint
        telemetry.step_exchanges.add(1, {"endpoint": endpoint.name})
        if count <= 1:
            endpoint.record_decode(elapsed_ms, time.monotonic())
        else:
            prefill_ms = max(0.0, elapsed_ms - endpoint.decode.mean)
            endpoint.prefill_per_token.add(prefill_ms / count)
        record_success(endpoint)

    def _resolve_steps(self, batch: list[_PendingStep], results: list[StepResult]) -> None:
        pending_by_key = {(item.step.request, item.step.attempt): item for item in batch}
        dropped = 0
        for result in results:
            item = pending_by_key.get((result.request, result.attempt))
            if item is not None and item.result.cancelled():
                continue
            if item is None or item.result.done() or not result.matches(item.step):
                dropped += 1
                continue
            item.result.set_result(result)
        if dropped:
            telemetry.dropped_replies.add(dropped, {"endpoint": self.endpoint.name})
        _fail_unresolved(
            batch, StepLostError(self.endpoint.name, "the response contains no result of the step")
        )

    def _record_failure(self, error: EndpointError) -> None:
        is_conclusive = not isinstance(error, StepTimeoutError)
        if not is_conclusive:
            self.endpoint.record_timeout()
        record_failure(self.endpoint, error.reason, conclusive=is_conclusive)

    async def _send_releases(self) -> None:
        await asyncio.sleep(RELEASE_DELAY_SECONDS)
        sequences, self._releases = self._releases, []
        for _ in range(MAX_RELEASE_ATTEMPTS):
            try:
                await self._engines.cancel(self.endpoint.name, self.endpoint.vm.address, sequences)
                return
            except EndpointError as error:
                logger.debug("releasing sequences failed: %s", error)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _fail_unresolved(batch: list[_PendingStep], error: StepLostError) -> None:
    for item in batch:
        if not item.result.done():
            item.result.set_exception(error)
            # Marks the exception as retrieved: a cancelled caller no longer awaits the step, and
            # asyncio would log an exception that was never retrieved.
            item.result.exception()
