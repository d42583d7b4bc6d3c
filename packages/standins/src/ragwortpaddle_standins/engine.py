"""Stand-in for a model engine that holds a range of layers.

It does continuous batching, keeps sequences and a bounded prefix cache, honours priorities and
cancellations, exports and imports KV caches, and reports its load with a lag. ``/faults`` injects
a freeze, slow steps, a slow link, a crash on a poison prompt, stale or false load reports, and
duplicated, dropped or crossed results, where crossed means the results of an earlier request.
"""

import asyncio
import os
from collections import OrderedDict

import defopt
import msgspec
from blacksheep import Application, Content, Request, Response

from ragwortpaddle_standins import model
from ragwortpaddle_standins._engine_messages import (
    Execution,
    Faults,
    KvExport,
    LoadReport,
    Order,
    SequenceRef,
    Step,
    StepResult,
    StepsReply,
    StepsRequest,
)
from ragwortpaddle_standins._server import json_response, serve

TIME_FACTOR_BY_ACCELERATOR = {"fast": 1.0, "medium": 2.0, "slow": 4.0}
BATCH_BASE_MS = 4.0
DECODE_MS_PER_SEQUENCE = 0.05
PREFILL_MS_PER_TOKEN = 0.1
PREFIX_BLOCK_TOKENS = 16
MAX_PREFIX_ENTRIES = 512
MAX_SEQUENCES = 4096
MAX_RECORDED_EXECUTIONS = 200_000
MSGPACK_CONTENT_TYPE = b"application/msgpack"


class _Sequence:
    """The KV cache and position of one attempt on this engine."""

    def __init__(self, layers: int) -> None:
        self.position = 0
        self.kv_by_layer = [0] * layers


class _PendingStep:
    """A step that is queued for a batch."""

    def __init__(self, step: Step, arrival_number: int) -> None:
        self.step = step
        self.arrival_number = arrival_number
        self.future: asyncio.Future[StepResult] = asyncio.get_running_loop().create_future()

    def sort_key(self) -> tuple[int, int]:
        """Sort by descending priority, then by arrival."""
        return (-self.step.priority, self.arrival_number)


class Engine:
    """The sequences, the batch loop and the injected faults of one engine."""

    def __init__(
        self, report: LoadReport, check_fencing: bool, report_lag_ms: float, batch_base_ms: float
    ) -> None:
        self.batch_base_ms = batch_base_ms
        self.report = report
        self.check_fencing = check_fencing
        self.report_lag_ms = report_lag_ms
        self.time_factor = TIME_FACTOR_BY_ACCELERATOR[report.accelerator]
        self.sequence_by_key: OrderedDict[tuple[str, int], _Sequence] = OrderedDict()
        self.prefix_cache: OrderedDict[int, None] = OrderedDict()
        self.pending: list[_PendingStep] = []
        self.step_queued = asyncio.Event()
        self.faults = Faults()
        self.executions: list[Execution] = []
        self.cancelled: list[SequenceRef] = []
        self.orders: list[Order] = []
        self.orders_refused = 0
        self.submitted_step_count = 0
        self.published_report = report
        self.previous_results: list[StepResult] = []

    def submit(self, step: Step) -> _PendingStep:
        """Queue a step for the next batch."""
        self.submitted_step_count += 1
        pending = _PendingStep(step, self.submitted_step_count)
        self.pending.append(pending)
        self.step_queued.set()
        return pending

    async def run_batches(self) -> None:
        """Run batches of queued steps until the process ends."""
        while True:
            if not self.pending:
                self.step_queued.clear()
                self.report.active = 0
                await self.step_queued.wait()
            while self.faults.frozen:
                await asyncio.sleep(0.01)
            self.pending = [item for item in self.pending if not item.future.cancelled()]
            self.pending.sort(key=_PendingStep.sort_key)
            batch = self.pending[: self.report.max_batch]
            del self.pending[: len(batch)]
            if not batch:
                continue
            self.report.active = len(batch)
            self.report.waiting = len(self.pending)
            cost_ms = self.batch_base_ms + sum(self._estimate_cost_ms(item.step) for item in batch)
            cost_ms *= self.time_factor * self.faults.slow_factor
            await asyncio.sleep(cost_ms / 1000)
            self.report.step_ms = 0.8 * self.report.step_ms + 0.2 * cost_ms
            for item in batch:
                if not item.future.done():
                    item.future.set_result(self._execute(item.step))

    def _estimate_cost_ms(self, step: Step) -> float:
        position_count = len(step.hidden) or len(model.tokenize(step.prompt)) + len(step.tokens)
        if position_count <= 1:
            return DECODE_MS_PER_SEQUENCE
        cached_count = self._update_prefix_cache(step)
        return PREFILL_MS_PER_TOKEN * max(1, position_count - cached_count)

    def _update_prefix_cache(self, step: Step) -> int:
        """Add the prefixes of a step and return how many of its positions were cached."""
        inputs = self._get_inputs(step)
        cached_count = 0
        for end in range(PREFIX_BLOCK_TOKENS, len(inputs) + 1, PREFIX_BLOCK_TOKENS):
            digest = hash(tuple(inputs[:end]))
            if digest in self.prefix_cache:
                cached_count = end
                self.prefix_cache.move_to_end(digest)
            else:
                self.prefix_cache[digest] = None
        while len(self.prefix_cache) > MAX_PREFIX_ENTRIES:
            self.prefix_cache.popitem(last=False)
        return cached_count

    def _get_inputs(self, step: Step) -> list[int]:
        if step.first_layer > 0:
            return step.hidden
        return model.tokenize(step.prompt) + step.tokens

    def _execute(self, step: Step) -> StepResult:
        result = StepResult(
            step.request, step.attempt, step.position, step.first_layer, step.end_layer
        )
        report = self.report
        if (step.first_layer, step.end_layer) != (report.first_layer, report.end_layer):
            result.error = "wrong layers"
            return result
        key = (step.request, step.attempt)
        sequence = self.sequence_by_key.get(key)
        if sequence is None:
            sequence = _Sequence(report.end_layer - report.first_layer)
            if step.position > 0:
                result.error = "unknown sequence"
                return result
            self.sequence_by_key[key] = sequence
            if len(self.sequence_by_key) > MAX_SEQUENCES:
                self.sequence_by_key.popitem(last=False)
        if sequence.position != step.position:
            result.error = "wrong position"
            return result
        inputs = self._get_inputs(step)
        sequence.kv_by_layer, outputs = model.step_layers(
            sequence.kv_by_layer, report.first_layer, inputs
        )
        sequence.position += len(inputs)
        if len(self.executions) < MAX_RECORDED_EXECUTIONS:
            self.executions.append(
                Execution(*key, step.position, len(inputs), step.first_layer, step.end_layer)
            )
        if report.end_layer < report.layers:
            result.hidden = outputs
            return result
        result.hidden = [len(inputs)]
        result.token = model.next_token(outputs[-1])
        result.text = model.token_text(result.token)
        result.end = result.token == model.END_TOKEN
        if result.end:
            result.text = ""
        return result

    async def refresh_report(self) -> None:
        """Publish a copy of the load report once per lag interval."""
        while True:
            self.report.sequences = len(self.sequence_by_key)
            if not self.faults.stale_load_ms:
                self.published_report = msgspec.structs.replace(self.report)
            await asyncio.sleep(self.report_lag_ms / 1000)

    def get_published_report(self) -> LoadReport:
        """Return the published load report with the injected faults applied."""
        report = msgspec.structs.replace(
            self.published_report, leaving=self.report.leaving, age_ms=self.faults.stale_load_ms
        )
        for name, value in self.faults.load_override.items():
            setattr(report, name, value)
        return report

    def cancel(self, reference: SequenceRef) -> None:
        """Remove the KV cache and the queued steps of an attempt."""
        self.cancelled.append(reference)
        key = (reference.request, reference.attempt)
        self.sequence_by_key.pop(key, None)
        for item in self.pending:
            if (item.step.request, item.step.attempt) == key and not item.future.done():
                item.future.cancel()


def build(engine: Engine) -> Application:
    """Build the engine's HTTP application."""
    application = Application()
    router = application.router

    async def run_steps(request: Request) -> Response:
        message = msgspec.msgpack.decode(await request.read() or b"", type=StepsRequest)
        faults = engine.faults
        if faults.poison and any(faults.poison in step.prompt for step in message.steps):
            os._exit(3)
        if faults.link_delay_ms:
            await asyncio.sleep(faults.link_delay_ms / 1000)
        pending = [engine.submit(step) for step in message.steps]
        await asyncio.wait([item.future for item in pending])
        results = [item.future.result() for item in pending if not item.future.cancelled()]
        returned = list(results)
        if faults.duplicate_replies > 0:
            faults.duplicate_replies -= 1
            returned = returned + returned
        if faults.crossed_replies > 0 and engine.previous_results:
            faults.crossed_replies -= 1
            returned = engine.previous_results + returned
        engine.previous_results = results
        if faults.drop_replies > 0:
            faults.drop_replies -= 1
            returned = []
        body = msgspec.msgpack.encode(StepsReply(returned, engine.get_published_report()))
        return Response(200, content=Content(MSGPACK_CONTENT_TYPE, body))

    async def get_status(_request: Request) -> Response:
        while engine.faults.frozen:
            await asyncio.sleep(0.01)
        return json_response(engine.get_published_report())

    async def cancel_attempts(request: Request) -> Response:
        for reference in msgspec.json.decode(await request.read() or b"", type=list[SequenceRef]):
            engine.cancel(reference)
        return json_response({})

    async def export_kv(request: Request) -> Response:
        reference = msgspec.json.decode(await request.read() or b"", type=SequenceRef)
        sequence = engine.sequence_by_key.get((reference.request, reference.attempt))
        if sequence is None:
            return json_response({"error": "unknown sequence"}, 404)
        report = engine.report
        export = KvExport(
            reference.request,
            reference.attempt,
            sequence.position,
            report.first_layer,
            report.end_layer,
            sequence.kv_by_layer,
        )
        return Response(200, content=Content(MSGPACK_CONTENT_TYPE, msgspec.msgpack.encode(export)))

    async def import_kv(request: Request) -> Response:
        export = msgspec.msgpack.decode(await request.read() or b"", type=KvExport)
        report = engine.report
        if (export.first_layer, export.end_layer) != (report.first_layer, report.end_layer):
            return json_response({"error": "wrong layers"}, 409)
        sequence = _Sequence(0)
        sequence.position = export.position
        sequence.kv_by_layer = export.values
        engine.sequence_by_key[(export.request, export.attempt)] = sequence
        return json_response({})

    async def accept_order(request: Request) -> Response:
        message = msgspec.json.decode(await request.read() or b"", type=Order)
        if engine.check_fencing and message.fencing < engine.report.fencing:
            engine.orders_refused += 1
            return json_response({"error": "stale fencing number"}, 409)
        engine.report.fencing = max(engine.report.fencing, message.fencing)
        engine.report.model = message.model
        engine.report.version = message.version
        engine.orders.append(message)
        return json_response({})

    async def set_faults(request: Request) -> Response:
        engine.faults = msgspec.json.decode(await request.read() or b"", type=Faults)
        return json_response({})

    async def start_leaving(_request: Request) -> Response:
        engine.report.leaving = True
        return json_response({})

    async def get_history(_request: Request) -> Response:
        return json_response(
            {
                "executions": engine.executions,
                "cancelled": engine.cancelled,
                "orders": engine.orders,
                "orders_refused": engine.orders_refused,
                "open_sequences": len(engine.sequence_by_key),
            }
        )

    async def start_tasks(_application: Application) -> None:
        engine.tasks = [  # type: ignore[attr-defined]
            asyncio.create_task(engine.run_batches()),
            asyncio.create_task(engine.refresh_report()),
        ]

    application.on_start += start_tasks
    router.add_post("/v1/steps", run_steps)
    router.add_get("/v1/status", get_status)
    router.add_post("/v1/cancel", cancel_attempts)
    router.add_post("/v1/kv/export", export_kv)
    router.add_post("/v1/kv/import", import_kv)
    router.add_post("/v1/orders", accept_order)
    router.add_post("/faults", set_faults)
    router.add_post("/leave", start_leaving)
    router.add_get("/history", get_history)
    return application


def main(
    *,
    listen: str,
    model_name: str,
    layers: int,
    first_layer: int,
    end_layer: int,
    accelerator: str = "fast",
    max_batch: int = 64,
    ignore_fencing: bool = False,
    report_lag_ms: float = 250.0,
    batch_base_ms: float = BATCH_BASE_MS,
) -> None:
    """Run an engine stand-in.

    :param listen: host:port to listen on
    :param model_name: model whose layers the engine holds
    :param layers: number of layers of the model
    :param first_layer: first layer that the engine holds
    :param end_layer: one past the last layer that the engine holds
    :param accelerator: accelerator class: fast, medium or slow
    :param max_batch: maximum number of sequences in one batch
    :param ignore_fencing: accept orders with a stale fencing token
    :param report_lag_ms: interval at which the load report is published
    :param batch_base_ms: fixed cost of a batch on a fast accelerator
    """
    report = LoadReport(
        model=model_name,
        version="1",
        first_layer=first_layer,
        end_layer=end_layer,
        layers=layers,
        accelerator=accelerator,
        max_batch=max_batch,
        active=0,
        waiting=0,
        step_ms=batch_base_ms * TIME_FACTOR_BY_ACCELERATOR[accelerator],
        prefill_ms_per_token=PREFILL_MS_PER_TOKEN * TIME_FACTOR_BY_ACCELERATOR[accelerator],
        leaving=False,
        fencing=0,
    )
    serve(build(Engine(report, not ignore_fencing, report_lag_ms, batch_base_ms)), listen)


if __name__ == "__main__":
    defopt.run(main)
