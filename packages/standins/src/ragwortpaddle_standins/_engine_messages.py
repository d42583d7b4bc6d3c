"""The messages of the engine stand-in, declared apart from the product's."""

import msgspec


class Step(msgspec.Struct):
    """One step of one sequence: its new positions through this engine's layers."""

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
    """The outcome of one step; ``token`` is set by the stage that holds the last layer."""

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
    """What an engine says of itself, as it was one lag ago."""

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
    """Many sequences' steps in one exchange."""

    steps: list[Step]


class StepsReply(msgspec.Struct):
    """The results of an exchange, in any order."""

    results: list[StepResult]
    load: LoadReport


class SequenceRef(msgspec.Struct):
    """Names one attempt of one request."""

    request: str
    attempt: int


class KvExport(msgspec.Struct):
    """The KV state of one attempt."""

    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int
    values: list[int]


class Order(msgspec.Struct):
    """An order to load a model version; a lower fencing number than seen before is stale."""

    fencing: int
    model: str
    version: str


class Execution(msgspec.Struct):
    """One executed step, for the history checker."""

    request: str
    attempt: int
    position: int
    count: int
    first_layer: int
    end_layer: int


class Faults(msgspec.Struct):
    """Faults in force; the counts go down with each exchange."""

    frozen: bool = False
    slow_factor: float = 1.0
    link_delay_ms: float = 0.0
    poison: str = ""
    duplicate_replies: int = 0
    crossed_replies: int = 0
    drop_replies: int = 0
    load_override: dict[str, float] = {}
    stale_load_ms: float = 0.0
