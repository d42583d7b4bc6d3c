"""The relay's own message types, and the interface of a dialect.

A dialect converts between these types and the headers, objects and bodies that a deployment uses.
It is stateless and makes no decisions.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from ragwortpaddled.protocol._platform import StoredObject
from ragwortpaddled.transport import CallerLimits, RawHeaders


class RequestKind(StrEnum):
    """Whether requests of a route may be executed more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class PathRoute:
    """Sends requests with a given host and path prefix to one or more pools."""

    name: str
    host: str
    prefix: str
    request_kind: RequestKind
    resumable: bool
    public: bool
    timeout_seconds: float
    target_latency_seconds: float  # target for the whole response
    target_gap_seconds: float  # target between two events of a stream
    max_attempts: int
    priority: int
    weight_by_pool: Mapping[str, float]

    @property
    def retryable(self) -> bool:
        """Return whether a request may be retried after an attempt that may have been executed."""
        return self.request_kind is RequestKind.SAFE or (
            self.request_kind is RequestKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """One kind of accelerator; the factors scale the decode and prefill times of the model."""

    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True, slots=True)
class LayeredModel:
    """A model whose layers are split between engines, with its published sizes and timings.

    Times are for all layers on an accelerator with factor 1.
    """

    layers: int
    layer_mb: float
    kv_mb_per_token_layer: float  # KV cache of one token in one layer
    step_ms: float  # part of a decode step that does not depend on the batch
    step_ms_per_sequence: float  # added by each sequence of the batch
    step_ms_per_1k_context: float  # added by each sequence per 1000 tokens of its context
    prefill_tokens_per_ms: float  # prefill rate
    load_seconds: float
    typical_prompt_tokens: float
    typical_answer_tokens: float
    tokens_per_event: int
    activation_bytes: float  # sent from stage to stage for each token
    inter_data_centre_mbps: float  # bandwidth of a link between two data centres
    slots: int
    max_concurrent_loads: int
    kind_by_name: Mapping[str, AcceleratorKind]


@dataclass(frozen=True, slots=True)
class RelayPool:
    """A group of interchangeable endpoints; ``model`` is None if they are plain services."""

    name: str
    max_connections: int
    model: LayeredModel | None


@dataclass(frozen=True, slots=True)
class RelayTeam:
    """A team and its priority, None to use the priority of the route."""

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """One version of the published configuration."""

    version: int
    routes: tuple[PathRoute, ...]
    pool_by_name: Mapping[str, RelayPool]
    team_by_key: Mapping[str, RelayTeam]
    has_teams: bool
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class LayerRange:
    """The layers from ``first`` up to, but not including, ``end``."""

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first

    def __str__(self) -> str:
        return f"{self.first}-{self.end}"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """The entry that an endpoint registered for itself."""

    id: str
    pool: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    kind: str = ""
    layers: LayerRange | None = None
    incarnation: int = 0  # differs between two starts with the same id


@dataclass(frozen=True, slots=True)
class Hop:
    """One stage of a path through engines that together hold all layers."""

    endpoint_id: str
    address: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """The values that a caller sent in dialect-specific headers.

    ``prompt_parts`` are the ids of the prompt's parts; prompts may share all but the last.
    """

    attempt_id: str
    deadline_ms: float | None = None
    api_key: str = ""
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    expected_answer_tokens: float = 0.0
    last_event_id: str = ""
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """The values that the relay adds to the headers of a forwarded request."""

    endpoint_id: str
    deadline_ms: int
    team: str = ""
    path: tuple[Hop, ...] = ()
    last_event_id: str = ""
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """The values that an endpoint sent in dialect-specific response headers.

    ``sealed`` means that the endpoint itself marked the response as its own.
    """

    attempt_id: str
    not_run: bool
    sealed: bool
    failed_address: str = ""  # the engine that did not run the request, if not the first
    running: int | None = None
    waiting: int | None = None
    requests_per_second: float | None = None  # the endpoint's limit over all daemons, if any


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports, which is a few hundred milliseconds old."""

    accepted_order_count: int  # accepted since the engine started
    order_in_progress: bool  # an order is in progress
    layers: LayerRange | None
    running: int
    waiting: int
    used_kv_token_layers: float
    total_kv_token_layers: float
    step_factor: float
    stalled_address_by_attempt: Mapping[str, str]  # addresses of the engines that attempts wait for


@dataclass(frozen=True, slots=True)
class PlacementOrder:
    """Orders an engine to load and serve a range of layers; ``fencing`` is a fencing token."""

    layers: LayerRange
    fencing: int


class Dialect(Protocol):
    """Converts between the relay's types and the messages of a deployment."""

    config_key: str
    endpoints_prefix: str
    ready_path: str
    report_path: str
    order_path: str

    def parse_request_headers(self, headers: RawHeaders) -> RequestMetadata:
        """Parse the headers of a caller's request."""

    def build_forward_headers(
        self, headers: RawHeaders, forwarding_metadata: ForwardingMetadata
    ) -> RawHeaders:
        """Return the headers of a forwarded request."""

    def parse_response_headers(self, status: int, headers: RawHeaders) -> ResponseMetadata:
        """Parse the status and the headers of an endpoint's response."""

    def decode_config(self, stored: StoredObject) -> RelayConfig:
        """Decode a configuration; raises ``ObjectsError`` if it is malformed."""

    def decode_endpoint(self, stored: StoredObject) -> EndpointEntry:
        """Decode an endpoint's entry; raises ``ObjectsError`` if it is unusable."""

    def decode_report(self, body: bytes) -> EngineReport:
        """Decode an engine's report; raises ``ObjectsError`` if it is malformed."""

    def build_order_headers(self, endpoint_id: str) -> RawHeaders:
        """Return headers that make every endpoint except ``endpoint_id`` reject an order."""

    def encode_placement_order(self, order: PlacementOrder) -> bytes:
        """Encode an order to hold a range of layers."""
