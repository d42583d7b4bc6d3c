"""Command line of the entry daemon."""

import asyncio
import sys
from pathlib import Path

import defopt

from ragwortpaddled import telemetry
from ragwortpaddled._daemon import Daemon
from ragwortpaddled._logs import configure_stderr_logging
from ragwortpaddled._settings import Settings, load_settings
from ragwortpaddled.errors import SettingsError

EXIT_SETTINGS = 2


def serve(settings: Path, *, check: bool = False) -> int:
    """Run an entry daemon.

    :param settings: path of the daemon's INI settings file
    :param check: validate the settings and exit without serving
    """
    try:
        loaded = load_settings(settings)
        if check:
            print(f"{settings}: ok")
            return 0
        asyncio.run(_run(loaded))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    return 0


async def _run(settings: Settings) -> None:
    section = settings.telemetry
    configure_stderr_logging(section.log_format, section.log_level)
    telemetry.configure_telemetry(
        settings.daemon.name,
        section.traces,
        section.trace_file,
        section.otlp_url,
        section.sample_ratio,
    )
    try:
        await Daemon(settings).run()
    finally:
        telemetry.shutdown_telemetry()


def main() -> None:
    """Parse the command line, run the daemon and exit with its status."""
    sys.exit(defopt.run(serve, no_negated_flags=True))


if __name__ == "__main__":
    main()
