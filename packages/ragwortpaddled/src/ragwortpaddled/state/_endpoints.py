"""What a daemon knows of each endpoint: reports, its own measurements, and a circuit."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from ragwortpaddled.protocol import LoadReport, Vm

SMOOTHING = 0.2
MAX_REPORT_AGE_SECONDS = 10.0
SERVING_REPORT_SECONDS = 3.0
OPEN_AFTER_FAILURES = 2
FIRST_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 15.0
SLOW_START_SECONDS = 5.0
SLOW_START_FLOOR = 0.1
DEFAULT_STEP_MS = 10.0
DEFAULT_PREFILL_MS_PER_TOKEN = 0.5
DEFAULT_MAX_BATCH = 8
DEADLINE_FACTOR = 6.0
DEADLINE_FLOOR_MS = 250.0
MAX_PATIENCE = 32.0
PATIENCE_DECAY = 0.95
LINK_GROWTH = 1.02


class CircuitState(StrEnum):
    """Whether an endpoint may be given work."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


@dataclass(slots=True)
class Circuit:
    """Opens after failures in a row, admits one probe, then closes with a slow start."""

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    open_seconds: float = FIRST_OPEN_SECONDS
    retry_at: float = 0.0
    closed_at: float = -math.inf

    def admits(self, now: float) -> bool:
        """Tell whether work may be sent."""
        if self.state is CircuitState.CLOSED:
            return True
        return self.state is CircuitState.OPEN and now >= self.retry_at

    def start(self, now: float) -> None:
        """Note that work is sent; an open circuit's first work is its probe."""
        if self.state is CircuitState.OPEN and now >= self.retry_at:
            self.state = CircuitState.PROBING

    def succeed(self, now: float) -> bool:
        """Note a success; return whether the circuit closed."""
        self.failures = 0
        if self.state is CircuitState.CLOSED:
            return False
        self.state = CircuitState.CLOSED
        self.open_seconds = FIRST_OPEN_SECONDS
        self.closed_at = now
        return True

    def fail(self, now: float, certain: bool = False) -> bool:
        """Note a failure; return whether the circuit opened. A broken connection is certain."""
        self.failures += 1
        was_open = self.state is not CircuitState.CLOSED
        if not (was_open or certain or self.failures >= OPEN_AFTER_FAILURES):
            return False
        if self.state is CircuitState.PROBING:
            self.open_seconds = min(self.open_seconds * 2, MAX_OPEN_SECONDS)
        self.state = CircuitState.OPEN
        self.retry_at = now + self.open_seconds
        return not was_open

    def abandon(self) -> None:
        """Note that work ended without telling anything of the endpoint."""
        if self.state is CircuitState.PROBING:
            self.state = CircuitState.OPEN

    def share(self, now: float) -> float:
        """Return the fraction of full load that the slow start allows."""
        ramp = (now - self.closed_at) / SLOW_START_SECONDS
        return min(1.0, max(SLOW_START_FLOOR, ramp))


@dataclass(slots=True)
class Average:
    """A smoothed mean and deviation."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Take in a measurement."""
        self.count += 1
        weight = max(SMOOTHING, 1.0 / self.count)
        difference = value - self.mean
        self.mean += weight * difference
        self.deviation += weight * (abs(difference) - self.deviation)


@dataclass(slots=True)
class Endpoint:
    """One endpoint; times on the monotonic clock in seconds, paces in milliseconds."""

    vm: Vm
    report: LoadReport = field(default_factory=LoadReport)
    reported_at: float = -math.inf
    leaving_since: float | None = None
    sequences: int = 0
    sequences_at_report: int = 0
    steps_in_flight: int = 0
    decode: Average = field(default_factory=Average)
    prefill_per_token: Average = field(default_factory=Average)
    circuit: Circuit = field(default_factory=Circuit)
    report_suspect: bool = False
    link_ms: float = math.inf
    patience: float = 1.0

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.vm.name

    @property
    def leaving(self) -> bool:
        """Tell whether the endpoint must get no new work."""
        return self.leaving_since is not None

    def usable(self, now: float) -> bool:
        """Tell whether new work may be sent."""
        return not self.leaving and self.circuit.admits(now)

    def serving(self, now: float) -> bool:
        """Tell whether the endpoint surely works, not only whether it may be tried."""
        closed = self.circuit.state is CircuitState.CLOSED
        return closed and not self.leaving and now - self.reported_at <= SERVING_REPORT_SECONDS

    def take_report(self, report: LoadReport, now: float) -> bool:
        """Take in a load report; return whether it was plausible."""
        if report.leaving and self.leaving_since is None:
            self.leaving_since = now
        plausible = _plausible(report)
        self.report_suspect = not plausible
        # Layers and model are facts about the endpoint and hold even where its figures don't.
        self.report = report
        if plausible:
            self.reported_at = now - report.age_ms / 1000
            self.sequences_at_report = self.sequences
        return plausible

    def fresh(self, now: float) -> bool:
        """Tell whether the report's figures can be used."""
        return not self.report_suspect and now - self.reported_at <= MAX_REPORT_AGE_SECONDS

    def confirm_report(self, now: float) -> None:
        """Note that the endpoint's poller still finds the last report true."""
        if not self.report_suspect:
            self.reported_at = max(self.reported_at, now)

    def max_batch(self) -> int:
        """Return how many sequences the endpoint runs in one batch."""
        return self.report.max_batch or DEFAULT_MAX_BATCH

    def load(self, now: float) -> float:
        """Return the open sequences, those of other daemons as last reported included."""
        if not self.fresh(now):
            return float(self.sequences)
        others = max(0.0, self.report.sequences - self.sequences_at_report)
        return self.sequences + others

    def step_ms(self, now: float) -> float:
        """Return the expected time of one batch, link included but waiting left out."""
        if self.fresh(now) and self.report.step_ms > 0:
            link_ms = 0.0 if math.isinf(self.link_ms) else self.link_ms
            return self.report.step_ms + link_ms
        if self.decode.count:
            return self.decode.mean
        return DEFAULT_STEP_MS

    def note_decode(self, elapsed_ms: float, now: float) -> None:
        """Take in the time of a decode exchange."""
        self.decode.add(elapsed_ms)
        self.patience = max(1.0, self.patience * PATIENCE_DECAY)
        if self.fresh(now):
            # What an exchange takes beyond its batch is link or waiting; the least is the link.
            beyond_batch_ms = max(0.0, elapsed_ms - self.report.step_ms)
            self.link_ms = min(beyond_batch_ms, self.link_ms * LINK_GROWTH)

    def note_timeout(self) -> None:
        """Wait longer for the next steps: an endpoint that is only slow must not be hunted."""
        self.patience = min(MAX_PATIENCE, self.patience * 2)

    def prefill_ms(self, tokens: int, now: float) -> float:
        """Return the expected time to prefill some tokens."""
        per_token = DEFAULT_PREFILL_MS_PER_TOKEN
        if self.prefill_per_token.count:
            per_token = self.prefill_per_token.mean
        elif self.fresh(now) and self.report.prefill_ms_per_token > 0:
            per_token = self.report.prefill_ms_per_token
        return self.step_ms(now) + per_token * tokens

    def step_deadline_ms(self, tokens: int, now: float) -> float:
        """Return the time after which a step counts as lost, from the endpoint's own pace."""
        expected_ms = self.step_ms(now) if tokens <= 1 else self.prefill_ms(tokens, now)
        batches_ahead = self.load(now) / self.max_batch()
        expected_ms += batches_ahead * self.step_ms(now)
        measured_ms = self.decode.mean + self.decode.deviation
        deadline_ms = DEADLINE_FACTOR * max(expected_ms, measured_ms) * self.patience
        return max(DEADLINE_FLOOR_MS, deadline_ms)


class EndpointTable:
    """The endpoints that the VM list names."""

    def __init__(self) -> None:
        self.endpoint_by_name: dict[str, Endpoint] = {}

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(self.endpoint_by_name.values())

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint."""
        return self.endpoint_by_name.get(name)

    def in_pool(self, pool: str) -> list[Endpoint]:
        """Return the endpoints of a pool."""
        return [endpoint for endpoint in self if endpoint.vm.pool == pool]

    def update(self, vms: list[Vm], now: float) -> None:
        """Take in a VM list; a listed address that changed is another endpoint."""
        listed = {vm.name: vm for vm in vms if vm.role == "endpoint"}
        for name in set(self.endpoint_by_name) - set(listed):
            del self.endpoint_by_name[name]
        for name, vm in listed.items():
            known = self.endpoint_by_name.get(name)
            if known is None or known.vm.address != vm.address:
                known = Endpoint(vm)
                self.endpoint_by_name[name] = known
            known.vm = vm
            if vm.state == "leaving" and known.leaving_since is None:
                known.leaving_since = now


def _plausible(report: LoadReport) -> bool:
    figures = (
        report.active,
        report.waiting,
        report.sequences,
        report.step_ms,
        report.prefill_ms_per_token,
        report.age_ms,
    )
    if not all(math.isfinite(figure) and figure >= 0 for figure in figures):
        return False
    return report.age_ms / 1000 <= MAX_REPORT_AGE_SECONDS
