"""OpenTelemetry traces and metrics; the settings select the trace exporter."""

import logging
from pathlib import Path

from opentelemetry import metrics, propagate, trace
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from prometheus_client import REGISTRY, generate_latest

SPAN_EXPORT_INTERVAL_MS = 500

tracer = trace.get_tracer("ragwortpaddled")
_meter = metrics.get_meter("ragwortpaddled")

requests = _meter.create_counter("ragwortpaddle_requests", description="Requests by outcome")
refusals = _meter.create_counter("ragwortpaddle_refusals", description="Refusals by code")
tokens = _meter.create_counter("ragwortpaddle_tokens", description="Tokens relayed to callers")
step_exchanges = _meter.create_counter("ragwortpaddle_step_exchanges", description="Step exchanges")
steps = _meter.create_counter("ragwortpaddle_steps", description="Steps sent to engines")
dropped_replies = _meter.create_counter(
    "ragwortpaddle_dropped_replies", description="Step replies that answer no open step"
)
recoveries = _meter.create_counter(
    "ragwortpaddle_recoveries", description="Attempts started after the first, by cause"
)
circuit_changes = _meter.create_counter(
    "ragwortpaddle_circuit_changes", description="Circuits opened and closed"
)
operation_writes = _meter.create_counter(
    "ragwortpaddle_operation_writes", description="Writes of operation shards by result"
)
peer_refusals = _meter.create_counter(
    "ragwortpaddle_peer_refusals", description="Peer messages that failed authentication"
)
implausible_reports = _meter.create_counter(
    "ragwortpaddle_implausible_reports", description="Load reports that were set aside"
)
dropped_log_lines = _meter.create_counter(
    "ragwortpaddle_dropped_log_lines", description="Log lines that a full queue could not take"
)
background_task_failures = _meter.create_counter(
    "ragwortpaddle_background_task_failures",
    description="Background tasks that failed and were run again, by task",
)
# Each boundary doubles the one before, from the response time of a nearby service (25 ms) to the
# longest time that callers wait (25.6 s).
LATENCY_BUCKETS_SECONDS = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6]
request_seconds = _meter.create_histogram(
    "ragwortpaddle_request",
    unit="s",
    description="Time from a request's arrival to the end of its answer, by outcome",
    explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_SECONDS,
)
first_event_seconds = _meter.create_histogram(
    "ragwortpaddle_first_event",
    unit="s",
    description="Time from a request's arrival to the first event of its stream",
    explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_SECONDS,
)
place_wait_seconds = _meter.create_histogram(
    "ragwortpaddle_place_wait",
    unit="s",
    description="Time that a request waited for a place, by pool",
    explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_SECONDS,
)
attempts = _meter.create_counter(
    "ragwortpaddle_attempts", description="Attempts at endpoints by result"
)
retry_loans = _meter.create_counter(
    "ragwortpaddle_retry_loans", description="Retries borrowed from peers and lent to them, by side"
)
forwarded_requests = _meter.create_counter(
    "ragwortpaddle_forwarded_requests", description="Requests forwarded for peers by result"
)
platform_calls = _meter.create_counter(
    "ragwortpaddle_platform_calls", description="Calls to the platform by purpose and result"
)
endpoint_crashes = _meter.create_counter(
    "ragwortpaddle_endpoint_crashes",
    description="Requests that an endpoint had not begun to answer when it crashed",
)
cut_requests = _meter.create_counter(
    "ragwortpaddle_cut_requests", description="Requests cut off by the shutdown bound"
)


def trace_headers() -> list[tuple[bytes, bytes]]:
    """Return the W3C trace context headers of the current span, empty if there is none."""
    if not trace.get_current_span().get_span_context().is_valid:
        return []
    carrier: dict[str, str] = {}
    propagate.inject(carrier)
    return [(name.encode(), value.encode()) for name, value in carrier.items()]


def configure_telemetry(
    daemon: str, traces: str, trace_file: Path | None, otlp_url: str, sample_ratio: float
) -> None:
    """Install the metric reader and the span exporter; without an exporter spans are no-ops."""
    resource = Resource.create({"service.name": "ragwortpaddled", "service.instance.id": daemon})
    metrics.set_meter_provider(
        MeterProvider(metric_readers=[PrometheusMetricReader()], resource=resource)
    )
    exporter = _span_exporter(traces, trace_file, otlp_url)
    if exporter is None:
        return
    provider = TracerProvider(
        resource=resource, sampler=ParentBased(TraceIdRatioBased(sample_ratio))
    )
    provider.add_span_processor(
        BatchSpanProcessor(exporter, schedule_delay_millis=SPAN_EXPORT_INTERVAL_MS)
    )
    trace.set_tracer_provider(provider)
    logging.getLogger("opentelemetry").setLevel(logging.ERROR)


def shutdown_telemetry() -> None:
    """Export the remaining spans and stop the exporter."""
    provider = trace.get_tracer_provider()
    if isinstance(provider, TracerProvider):
        provider.shutdown()


def prometheus_text() -> bytes:
    """Return the metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)


def _span_exporter(traces: str, trace_file: Path | None, otlp_url: str) -> SpanExporter | None:
    if traces == "none":
        return None
    if traces == "otlp":
        # Imported here because it takes 0.15 s, and few daemons export traces.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter

        return OTLPSpanExporter(endpoint=otlp_url)
    if traces == "file" and trace_file is not None:
        out = trace_file.open("a", buffering=1)
        return ConsoleSpanExporter(out=out, formatter=lambda span: span.to_json(indent=None) + "\n")
    return ConsoleSpanExporter()
