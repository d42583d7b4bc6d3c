"""The settings of one daemon, read from its INI file."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, ClassVar, Literal

from pydantic import BeforeValidator, ConfigDict, Field, TypeAdapter

from ragwortpaddled._ini import read_ini, validate

_STRICT = ConfigDict(extra="forbid")


def _split(value: object) -> object:
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
Addresses = Annotated[tuple[Address, ...], BeforeValidator(_split)]
Milliseconds = Annotated[int, Field(ge=0, le=3_600_000)]
Positive = Annotated[int, Field(gt=0)]


@dataclass(frozen=True, slots=True)
class DaemonSection:
    """Who this daemon is and where it listens."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    data_centre: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    listen: Address
    peer_listen: Address


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """Where the platform's object API is."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    url: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    timeout_ms: Milliseconds = 1000


@dataclass(frozen=True, slots=True)
class PeersSection:
    """How daemons reach and authenticate each other."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    key_file: Path
    seeds: Addresses = ()
    gossip_interval_ms: Milliseconds = 250
    suspect_after_ms: Milliseconds = 1500
    dead_after_ms: Milliseconds = 4000


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """Bounds on what one daemon accepts."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    max_body_bytes: Positive = 1_000_000
    max_requests_in_flight: Positive = 4096


@dataclass(frozen=True, slots=True)
class ShutdownSection:
    """How a daemon ends."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    balancer_lag_ms: Milliseconds = 2000
    bound_ms: Milliseconds = 60_000


@dataclass(frozen=True, slots=True)
class TelemetrySection:
    """Where traces and logs go."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    traces: Literal["none", "console", "file", "otlp"] = "none"
    trace_file: Path | None = None
    otlp_url: str = ""
    sample_ratio: Annotated[float, Field(ge=0, le=1)] = 1.0
    log_format: Literal["text", "json"] = "text"
    log_level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings; each field is a section of the file."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    daemon: DaemonSection
    platform: PlatformSection
    peers: PeersSection
    limits: LimitsSection = field(default_factory=LimitsSection)
    shutdown: ShutdownSection = field(default_factory=ShutdownSection)
    telemetry: TelemetrySection = field(default_factory=TelemetrySection)


_ADAPTER = TypeAdapter(Settings)


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: with a line for each problem
    """
    return validate(_ADAPTER, read_ini(path), str(path))
