"""Tracks each endpoint's load reports, measured latencies and circuit breaker."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from ragwortpaddled.protocol import LoadReport, Vm

MOVING_AVERAGE_WEIGHT = 0.2
MAX_REPORT_AGE_SECONDS = 10.0
MAX_SERVING_REPORT_AGE_SECONDS = 3.0
OPEN_AFTER_FAILURES = 2
INITIAL_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 15.0
SLOW_START_SECONDS = 5.0
MIN_SLOW_START_SHARE = 0.1
DEFAULT_STEP_MS = 10.0
DEFAULT_PREFILL_MS_PER_TOKEN = 0.5
DEFAULT_MAX_BATCH = 8
STEP_DEADLINE_FACTOR = 6.0
MIN_STEP_DEADLINE_MS = 250.0
MAX_TIMEOUT_FACTOR = 32.0
TIMEOUT_FACTOR_DECAY = 0.95
LINK_ESTIMATE_GROWTH = 1.02


class CircuitState(StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "probing"


@dataclass(slots=True)
class Circuit:
    """Circuit breaker that admits one half-open probe and closes with a slow start."""

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    open_seconds: float = INITIAL_OPEN_SECONDS
    retry_at: float = 0.0
    closed_at: float = -math.inf

    def admits(self, now: float) -> bool:
        """Return whether a request may be sent, as normal traffic or as the probe."""
        if self.state is CircuitState.CLOSED:
            return True
        return self.state is CircuitState.OPEN and now >= self.retry_at

    def record_start(self, now: float) -> None:
        """Record that a request is sent; on an open circuit it becomes the half-open probe."""
        if self.state is CircuitState.OPEN and now >= self.retry_at:
            self.state = CircuitState.HALF_OPEN

    def record_success(self, now: float) -> bool:
        """Record a success; return whether it closed the circuit."""
        self.failures = 0
        if self.state is CircuitState.CLOSED:
            return False
        self.state = CircuitState.CLOSED
        self.open_seconds = INITIAL_OPEN_SECONDS
        self.closed_at = now
        return True

    def record_failure(self, now: float, conclusive: bool = False) -> bool:
        """Record a failure; return whether it opened the circuit.

        ``conclusive`` opens the circuit on the first failure, as for a broken connection.
        """
        self.failures += 1
        was_open = self.state is not CircuitState.CLOSED
        if not (was_open or conclusive or self.failures >= OPEN_AFTER_FAILURES):
            return False
        if self.state is CircuitState.HALF_OPEN:
            self.open_seconds = min(self.open_seconds * 2, MAX_OPEN_SECONDS)
        self.state = CircuitState.OPEN
        self.retry_at = now + self.open_seconds
        return not was_open

    def cancel_probe(self) -> None:
        """Reopen a half-open circuit whose probe ended without a result."""
        if self.state is CircuitState.HALF_OPEN:
            self.state = CircuitState.OPEN

    def slow_start_share(self, now: float) -> float:
        """Return the fraction of the endpoint's capacity that the slow start allows."""
        elapsed_share = (now - self.closed_at) / SLOW_START_SECONDS
        return min(1.0, max(MIN_SLOW_START_SHARE, elapsed_share))


@dataclass(slots=True)
class MovingAverage:
    """An exponentially weighted moving average of a value and of its absolute deviation."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Add a measurement."""
        self.count += 1
        weight = max(MOVING_AVERAGE_WEIGHT, 1.0 / self.count)
        difference = value - self.mean
        self.mean += weight * difference
        self.deviation += weight * (abs(difference) - self.deviation)


@dataclass(slots=True)
class Endpoint:
    """One endpoint; points in time are monotonic seconds, durations are milliseconds."""

    vm: Vm
    report: LoadReport = field(default_factory=LoadReport)
    reported_at: float = -math.inf
    leaving_since: float | None = None
    sequences: int = 0
    sequences_at_report: int = 0
    steps_in_flight: int = 0
    decode: MovingAverage = field(default_factory=MovingAverage)
    prefill_per_token: MovingAverage = field(default_factory=MovingAverage)
    circuit: Circuit = field(default_factory=Circuit)
    report_implausible: bool = False
    link_ms: float = math.inf
    timeout_factor: float = 1.0

    @property
    def name(self) -> str:
        """Return the name of the endpoint's VM."""
        return self.vm.name

    @property
    def leaving(self) -> bool:
        """Return whether the endpoint is leaving, so that no new work may be sent to it."""
        return self.leaving_since is not None

    def usable(self, now: float) -> bool:
        """Return whether new work may be sent: not leaving, and admitted by the circuit breaker."""
        return not self.leaving and self.circuit.admits(now)

    def serving(self, now: float) -> bool:
        """Return whether the endpoint works: circuit closed, not leaving, report recent."""
        closed = self.circuit.state is CircuitState.CLOSED
        return (
            closed and not self.leaving and now - self.reported_at <= MAX_SERVING_REPORT_AGE_SECONDS
        )

    def update_report(self, report: LoadReport, now: float) -> bool:
        """Store a load report; return whether its values were plausible."""
        if report.leaving and self.leaving_since is None:
            self.leaving_since = now
        plausible = _is_plausible(report)
        self.report_implausible = not plausible
        # The layers and the model are valid even if the load values are not.
        self.report = report
        if plausible:
            self.reported_at = now - report.age_ms / 1000
            self.sequences_at_report = self.sequences
        return plausible

    def has_fresh_report(self, now: float) -> bool:
        """Return whether the load report is plausible and recent enough to be used."""
        return not self.report_implausible and now - self.reported_at <= MAX_REPORT_AGE_SECONDS

    def renew_report(self, now: float) -> None:
        """Renew the age of the last report, which the endpoint's poller has found unchanged."""
        if not self.report_implausible:
            self.reported_at = max(self.reported_at, now)

    def max_batch(self) -> int:
        """Return the maximum number of sequences in one batch."""
        return self.report.max_batch or DEFAULT_MAX_BATCH

    def load(self, now: float) -> float:
        """Return the open sequences, including those of other daemons from the last report."""
        if not self.has_fresh_report(now):
            return float(self.sequences)
        other_sequences = max(0.0, self.report.sequences - self.sequences_at_report)
        return self.sequences + other_sequences

    def step_ms(self, now: float) -> float:
        """Return the expected time of one batch, including network latency but not queueing."""
        if self.has_fresh_report(now) and self.report.step_ms > 0:
            link_ms = 0.0 if math.isinf(self.link_ms) else self.link_ms
            return self.report.step_ms + link_ms
        if self.decode.count:
            return self.decode.mean
        return DEFAULT_STEP_MS

    def record_decode(self, elapsed_ms: float, now: float) -> None:
        """Record the round-trip time of a decode step."""
        self.decode.add(elapsed_ms)
        self.timeout_factor = max(1.0, self.timeout_factor * TIMEOUT_FACTOR_DECAY)
        if self.has_fresh_report(now):
            # Time beyond the batch is network latency plus queueing, so its minimum is the latency.
            overhead_ms = max(0.0, elapsed_ms - self.report.step_ms)
            self.link_ms = min(overhead_ms, self.link_ms * LINK_ESTIMATE_GROWTH)

    def record_timeout(self) -> None:
        """Double the step deadline, so that a slow endpoint does not cause repeated timeouts."""
        self.timeout_factor = min(MAX_TIMEOUT_FACTOR, self.timeout_factor * 2)

    def prefill_ms(self, tokens: int, now: float) -> float:
        """Return the expected time to prefill a number of tokens."""
        per_token = DEFAULT_PREFILL_MS_PER_TOKEN
        if self.prefill_per_token.count:
            per_token = self.prefill_per_token.mean
        elif self.has_fresh_report(now) and self.report.prefill_ms_per_token > 0:
            per_token = self.report.prefill_ms_per_token
        return self.step_ms(now) + per_token * tokens

    def step_deadline_ms(self, tokens: int, now: float) -> float:
        """Return the deadline of a step, from the endpoint's expected and measured times."""
        expected_ms = self.step_ms(now) if tokens <= 1 else self.prefill_ms(tokens, now)
        batches_ahead = self.load(now) / self.max_batch()
        expected_ms += batches_ahead * self.step_ms(now)
        measured_ms = self.decode.mean + self.decode.deviation
        deadline_ms = STEP_DEADLINE_FACTOR * max(expected_ms, measured_ms) * self.timeout_factor
        return max(MIN_STEP_DEADLINE_MS, deadline_ms)


class EndpointTable:
    """The endpoints in the platform's VM list, by name."""

    def __init__(self) -> None:
        self.endpoint_by_name: dict[str, Endpoint] = {}

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(self.endpoint_by_name.values())

    def get(self, name: str) -> Endpoint | None:
        """Return the endpoint of a name, or None if it is not listed."""
        return self.endpoint_by_name.get(name)

    def in_pool(self, pool: str) -> list[Endpoint]:
        """Return the endpoints of a pool."""
        return [endpoint for endpoint in self if endpoint.vm.pool == pool]

    def update(self, vms: list[Vm], now: float) -> None:
        """Apply a VM list; a VM whose address changed becomes a new endpoint without history."""
        vm_by_name = {vm.name: vm for vm in vms if vm.role == "endpoint"}
        for name in set(self.endpoint_by_name) - set(vm_by_name):
            del self.endpoint_by_name[name]
        for name, vm in vm_by_name.items():
            endpoint = self.endpoint_by_name.get(name)
            if endpoint is None or endpoint.vm.address != vm.address:
                endpoint = Endpoint(vm)
                self.endpoint_by_name[name] = endpoint
            endpoint.vm = vm
            if vm.state == "leaving" and endpoint.leaving_since is None:
                endpoint.leaving_since = now


def _is_plausible(report: LoadReport) -> bool:
    values = (
        report.active,
        report.waiting,
        report.sequences,
        report.step_ms,
        report.prefill_ms_per_token,
        report.age_ms,
    )
    if not all(math.isfinite(value) and value >= 0 for value in values):
        return False
    return report.age_ms / 1000 <= MAX_REPORT_AGE_SECONDS
