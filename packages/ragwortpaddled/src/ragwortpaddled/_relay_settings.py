"""The settings of a relay daemon, read from its INI file; unknown sections and keys are ignored."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field, TypeAdapter

from ragwortpaddled._ini import read_ini, validate
from ragwortpaddled._settings import Address, Milliseconds

_OPEN = ConfigDict(extra="ignore")
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Seconds = Annotated[float, Field(ge=0, le=3600)]


@dataclass(frozen=True, slots=True)
class RelaySection:
    """Who this daemon is and where it listens."""

    __pydantic_config__: ClassVar[ConfigDict] = _OPEN

    name: Name
    data_centre: Name
    listen: Address
    ready_listen: Address
    peer_listen: Address
    metrics_listen: Address


@dataclass(frozen=True, slots=True)
class StoreSection:
    """Where the platform's store is."""

    __pydantic_config__: ClassVar[ConfigDict] = _OPEN

    url: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    timeout_ms: Milliseconds = 1000  # answers take 4 ms; a slow store takes up to 400 ms
    leave_ms: Milliseconds = 2000  # within which an endpoint that leaves must get nothing new


@dataclass(frozen=True, slots=True)
class EndSection:
    """How a daemon ends; the balancer's lag is two missed probes of a second each."""

    __pydantic_config__: ClassVar[ConfigDict] = _OPEN

    grace_seconds: Seconds = 8.0
    balancer_lag_ms: Milliseconds = 2500


@dataclass(frozen=True, slots=True)
class RetrySection:
    """How many sends beyond the first a pool may get, summed over all daemons."""

    __pydantic_config__: ClassVar[ConfigDict] = _OPEN

    ratio: Annotated[float, Field(ge=0, le=10)] = 0.2
    slack: Annotated[float, Field(ge=0)] = 200.0
    window_seconds: Annotated[float, Field(gt=0)] = 10.0


@dataclass(frozen=True, slots=True)
class LogSection:
    """What is logged to standard output."""

    __pydantic_config__: ClassVar[ConfigDict] = _OPEN

    level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """All settings; each field is a section of the file."""

    __pydantic_config__: ClassVar[ConfigDict] = _OPEN

    relay: RelaySection
    store: StoreSection
    end: EndSection = field(default_factory=EndSection)
    retry: RetrySection = field(default_factory=RetrySection)
    log: LogSection = field(default_factory=LogSection)


_ADAPTER = TypeAdapter(RelaySettings)


def load_relay_settings(path: Path) -> RelaySettings:
    """Read and check a settings file.

    :raises SettingsError: with a line for each problem
    """
    return validate(_ADAPTER, read_ini(path), str(path))
