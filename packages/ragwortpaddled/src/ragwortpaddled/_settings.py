"""Settings of the entry daemon, read from its INI file; unknown sections and keys are errors."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, ClassVar, Literal

from pydantic import BeforeValidator, ConfigDict, Field, TypeAdapter

from ragwortpaddled._ini import read_ini, validate_ini

_FORBID_UNKNOWN_KEYS = ConfigDict(extra="forbid")


def _split_list(value: object) -> object:
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
Addresses = Annotated[tuple[Address, ...], BeforeValidator(_split_list)]
Milliseconds = Annotated[int, Field(ge=0, le=3_600_000)]
PositiveInt = Annotated[int, Field(gt=0)]


@dataclass(frozen=True, slots=True)
class DaemonSection:
    """Name, data centre and listen addresses of this daemon."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_KEYS

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    data_centre: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    listen: Address
    peer_listen: Address


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """Location of the platform's object API and the timeout of a call to it."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_KEYS

    url: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    timeout_ms: Milliseconds = 1000


@dataclass(frozen=True, slots=True)
class PeersSection:
    """Peer authentication, seed addresses, gossip interval and failure detection timeouts."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_KEYS

    key_file: Path
    seeds: Addresses = ()
    gossip_interval_ms: Milliseconds = 250
    suspect_after_ms: Milliseconds = 1500
    dead_after_ms: Milliseconds = 4000


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """Limits on the size and number of requests that one daemon accepts."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_KEYS

    max_body_bytes: PositiveInt = 1_000_000
    max_requests_in_flight: PositiveInt = 4096


@dataclass(frozen=True, slots=True)
class ShutdownSection:
    """Load balancer delay and total time limit of a graceful shutdown."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_KEYS

    balancer_lag_ms: Milliseconds = 2000
    bound_ms: Milliseconds = 60_000


@dataclass(frozen=True, slots=True)
class TelemetrySection:
    """Exporter and sampling of traces; format and level of logs."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_KEYS

    traces: Literal["none", "console", "file", "otlp"] = "none"
    trace_file: Path | None = None
    otlp_url: str = ""
    sample_ratio: Annotated[float, Field(ge=0, le=1)] = 1.0
    log_format: Literal["text", "json"] = "text"
    log_level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings, with one field per section of the file."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_KEYS

    daemon: DaemonSection
    platform: PlatformSection
    peers: PeersSection
    limits: LimitsSection = field(default_factory=LimitsSection)
    shutdown: ShutdownSection = field(default_factory=ShutdownSection)
    telemetry: TelemetrySection = field(default_factory=TelemetrySection)


_ADAPTER = TypeAdapter(Settings)


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: the file or a value is invalid; the message has one line per problem
    """
    return validate_ini(_ADAPTER, read_ini(path), str(path))
