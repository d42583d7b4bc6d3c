"""The relay's messages in the project's own terms, and the dialect that carries them.

A dialect translates between these types and what a deployment speaks. It keeps no state and
decides nothing.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from ragwortpaddled.protocol._platform import StoredObject
from ragwortpaddled.transport import CallerLimits, RawHeaders


class Repeat(StrEnum):
    """Whether a request of a route may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class PathRoute:
    """Sends requests of a host and a path prefix to one or more pools."""

    name: str
    host: str
    prefix: str
    repeat: Repeat
    resumable: bool
    open_to_all: bool
    timeout_seconds: float
    aim_seconds: float
    gap_seconds: float
    max_attempts: int
    priority: int
    weight_by_pool: Mapping[str, float]

    @property
    def repeatable(self) -> bool:
        """Tell whether an attempt that may have run may be followed by another."""
        return self.repeat is Repeat.SAFE or (self.repeat is Repeat.STREAM and self.resumable)


@dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """One kind of accelerator; the factors multiply the model's times."""

    memory_mb: float
    step_factor: float
    read_factor: float


@dataclass(frozen=True, slots=True)
class LayeredModel:
    """A model that is split by layers, with the timing that its engines publish.

    Times are for all layers on an accelerator of factor 1.
    """

    layers: int
    layer_mb: float
    token_layer_mb: float
    step_ms: float
    sequence_step_ms: float
    context_step_ms: float
    read_tokens_per_ms: float
    load_seconds: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    tokens_per_event: int
    activation_bytes: float
    cross_link_mbps: float
    slots: int
    max_loads: int
    kind_by_name: Mapping[str, AcceleratorKind]


@dataclass(frozen=True, slots=True)
class RelayPool:
    """A group of endpoints that serve the same thing."""

    name: str
    max_connections: int
    model: LayeredModel | None


@dataclass(frozen=True, slots=True)
class RelayTeam:
    """A team and its rank, None where the route's holds."""

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """A published configuration as one set."""

    version: int
    routes: tuple[PathRoute, ...]
    pool_by_name: Mapping[str, RelayPool]
    team_by_key: Mapping[str, RelayTeam]
    has_teams: bool
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class LayerRange:
    """Layers from the first up to, but without, the end."""

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first

    def __str__(self) -> str:
        return f"{self.first}-{self.end}"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """What an endpoint registered of itself; ``born`` tells two starts of one id apart."""

    id: str
    pool: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    kind: str = ""
    layers: LayerRange | None = None
    born: int = 0


@dataclass(frozen=True, slots=True)
class Hop:
    """One stage of a path."""

    endpoint_id: str
    address: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a caller's headers say beyond HTTP."""

    attempt_id: str
    deadline_ms: float | None = None
    api_key: str = ""
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    expected_answer_tokens: float = 0.0
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What the relay adds to a forwarded request."""

    endpoint_id: str
    deadline_ms: int
    team: str = ""
    path: tuple[Hop, ...] = ()
    last_event_id: str = ""
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseFacts:
    """What an endpoint's response headers say beyond HTTP."""

    attempt_id: str
    not_run: bool
    sealed: bool
    fault_address: str = ""
    running: int | None = None
    waiting: int | None = None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of itself, some hundred milliseconds old."""

    orders: int
    ordered: bool
    layers: LayerRange | None
    running: int
    waiting: int
    used_token_layers: float
    total_token_layers: float
    pace: float
    fault_by_attempt: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class PlaceOrder:
    """Tells an engine which layers to hold."""

    layers: LayerRange
    fencing: int


class Dialect(Protocol):
    """Translates between the relay's types and what a deployment speaks."""

    config_key: str
    endpoints_prefix: str
    ready_path: str
    report_path: str
    order_path: str

    def request_facts(self, headers: RawHeaders) -> RequestFacts:
        """Read a caller's headers."""

    def forward_headers(self, headers: RawHeaders, forwarding: Forwarding) -> RawHeaders:
        """Return the headers of a forwarded request, without those of one connection."""

    def response_facts(self, status: int, headers: RawHeaders) -> ResponseFacts:
        """Read an endpoint's response headers."""

    def decode_config(self, stored: StoredObject) -> RelayConfig:
        """Decode a configuration; raises ``ObjectsError`` where it is malformed."""

    def decode_endpoint(self, stored: StoredObject) -> EndpointEntry:
        """Decode an endpoint's entry; raises ``ObjectsError`` where it names none."""

    def decode_report(self, body: bytes) -> EngineReport:
        """Decode an engine's report; raises ``ObjectsError`` where it is malformed."""

    def order_headers(self, endpoint_id: str) -> RawHeaders:
        """Return headers that make any other endpoint at the address refuse an order."""

    def encode_place(self, order: PlaceOrder) -> bytes:
        """Encode a placement order."""
