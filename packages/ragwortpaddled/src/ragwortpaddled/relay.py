"""The relay daemon, to be run with the dialects of a deployment."""

from ragwortpaddled._relay_daemon import RelayDaemon, run_relay
from ragwortpaddled._relay_settings import RelaySettings, load_relay_settings

__all__ = ["RelayDaemon", "RelaySettings", "load_relay_settings", "run_relay"]
