"""Messages of the engine stand-in, declared separately from those of the daemon."""

import msgspec


class Step(msgspec.Struct):
    """One step of one sequence: new positions to run through the engine's layers."""

    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int
    prompt: str = ""
    tokens: list[int] = []
    hidden: list[int] = []
    priority: int = 0


class StepResult(msgspec.Struct):
    """The result of one step; only the engine that holds the last layer sets ``token``."""

    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int
    hidden: list[int] = []
    token: int = -1
    text: str = ""
    end: bool = False
    error: str = ""


class LoadReport(msgspec.Struct):
    """The load that an engine reports, delayed by its report lag."""

    model: str
    version: str
    first_layer: int
    end_layer: int
    layers: int
    accelerator: str
    max_batch: int
    active: int
    waiting: int
    step_ms: float
    prefill_ms_per_token: float
    leaving: bool
    fencing: int
    sequences: float = 0
    age_ms: float = 0.0


class StepsRequest(msgspec.Struct):
    """A batch of steps of several sequences."""

    steps: list[Step]


class StepsReply(msgspec.Struct):
    """The results of a batch of steps, in any order."""

    results: list[StepResult]
    load: LoadReport


class SequenceRef(msgspec.Struct):
    """Identifies one attempt of one request."""

    request: str
    attempt: int


class KvExport(msgspec.Struct):
    """The exported KV cache of one attempt."""

    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int
    values: list[int]


class Order(msgspec.Struct):
    """An order to load a model version; stale if its fencing token is below the highest seen."""

    fencing: int
    model: str
    version: str


class Execution(msgspec.Struct):
    """One executed step, recorded for the history checker."""

    request: str
    attempt: int
    position: int
    count: int
    first_layer: int
    end_layer: int


class Faults(msgspec.Struct):
    """The injected faults; a count is decremented each time its fault is applied."""

    frozen: bool = False
    slow_factor: float = 1.0
    link_delay_ms: float = 0.0
    poison: str = ""
    duplicate_replies: int = 0
    crossed_replies: int = 0
    drop_replies: int = 0
    load_override: dict[str, float] = {}
    stale_load_ms: float = 0.0
