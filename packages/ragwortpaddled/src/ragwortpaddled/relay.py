"""Public interface of the relay daemon, which a deployment runs with its own dialects."""

from ragwortpaddled._relay_daemon import RelayDaemon, run_relay
from ragwortpaddled._relay_settings import RelaySettings, load_relay_settings

__all__ = ["RelayDaemon", "RelaySettings", "load_relay_settings", "run_relay"]
