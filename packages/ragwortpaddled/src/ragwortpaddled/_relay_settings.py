"""The settings of a relay daemon, read from its INI file; unknown sections and keys are ignored."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field, TypeAdapter

from ragwortpaddled._ini import read_ini, validate_ini
from ragwortpaddled._settings import Address, Milliseconds

_IGNORE_UNKNOWN_KEYS = ConfigDict(extra="ignore")
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Seconds = Annotated[float, Field(ge=0, le=3600)]


@dataclass(frozen=True, slots=True)
class RelaySection:
    """Identity and listen addresses of the daemon."""

    __pydantic_config__: ClassVar[ConfigDict] = _IGNORE_UNKNOWN_KEYS

    name: Name
    data_centre: Name
    listen: Address
    ready_listen: Address
    peer_listen: Address
    metrics_listen: Address
    forward_listen: Address | Literal[""] = ""  # for requests that peers pass on; empty for none


@dataclass(frozen=True, slots=True)
class StoreSection:
    """URL and time limits of the platform's store."""

    __pydantic_config__: ClassVar[ConfigDict] = _IGNORE_UNKNOWN_KEYS

    url: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    timeout_ms: Milliseconds = 1000  # responses take 4 ms, up to 400 ms when the store is slow
    leave_ms: Milliseconds = 2000  # limit for stopping new requests to a leaving endpoint


@dataclass(frozen=True, slots=True)
class EndSection:
    """Limits of a shutdown; the balancer stops sending after two missed probes of a second each."""

    __pydantic_config__: ClassVar[ConfigDict] = _IGNORE_UNKNOWN_KEYS

    grace_seconds: Seconds = 8.0
    balancer_lag_ms: Milliseconds = 2500


@dataclass(frozen=True, slots=True)
class RetrySection:
    """The retry budget of a pool, in attempts beyond the first, summed over all daemons."""

    __pydantic_config__: ClassVar[ConfigDict] = _IGNORE_UNKNOWN_KEYS

    ratio: Annotated[float, Field(ge=0, le=10)] = 0.2
    slack: Annotated[float, Field(ge=0)] = 200.0
    window_seconds: Annotated[float, Field(gt=0)] = 10.0


@dataclass(frozen=True, slots=True)
class LogSection:
    """Logging to standard output."""

    __pydantic_config__: ClassVar[ConfigDict] = _IGNORE_UNKNOWN_KEYS

    level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """All settings; each field is a section of the INI file."""

    __pydantic_config__: ClassVar[ConfigDict] = _IGNORE_UNKNOWN_KEYS

    relay: RelaySection
    store: StoreSection
    end: EndSection = field(default_factory=EndSection)
    retry: RetrySection = field(default_factory=RetrySection)
    log: LogSection = field(default_factory=LogSection)


_ADAPTER = TypeAdapter(RelaySettings)


def load_relay_settings(path: Path) -> RelaySettings:
    """Read and validate a settings file.

    :raises SettingsError: the file is unreadable or invalid; the message has a line per problem
    """
    return validate_ini(_ADAPTER, read_ini(path), str(path))
