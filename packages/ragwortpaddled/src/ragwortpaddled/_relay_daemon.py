"""The relay daemon: its parts put together, its start and its end."""

import asyncio
import logging
import random
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from ragwortpaddled import telemetry
from ragwortpaddled._logs import log_to_stdout
from ragwortpaddled._relay_settings import RelaySettings, load_relay_settings
from ragwortpaddled.coordination import (
    Dispatcher,
    EngineReports,
    Exchanger,
    FaultFinder,
    Placer,
    Relay,
    RelayFleet,
    RelayPeers,
)
from ragwortpaddled.errors import SettingsError
from ragwortpaddled.protocol import Dialect, Platform, StoreDialect
from ragwortpaddled.state import BudgetBounds, SendBudget
from ragwortpaddled.transport import (
    CallerLimits,
    Http1Server,
    HttpClient,
    Responder,
    ServerRequest,
)

DRAIN_TICK_SECONDS = 0.05
END_MARGIN_SECONDS = 1.2  # of the grace period, left for closing connections
CLOSE_SECONDS = 0.5
SETTINGS_POLL_SECONDS = 2.0  # the file may change without a signal

logger = logging.getLogger(__name__)


class RelayDaemon:
    """Runs until a signal asks it to end."""

    def __init__(
        self, settings: RelaySettings, path: Path, dialect: Dialect, store_dialect: StoreDialect
    ) -> None:
        section = settings.relay
        self._settings = settings
        self._path = path
        self._text = path.read_text()
        randomness = random.Random()
        self._http = HttpClient()
        platform = self._platform = Platform(
            self._http, settings.store.url, settings.store.timeout_ms / 1000, store_dialect
        )
        leave_seconds = settings.store.leave_ms / 1000
        self._fleet = RelayFleet(platform, dialect, randomness, leave_seconds)
        self._dispatcher = Dispatcher(self._fleet, section.data_centre, randomness)
        self._exchanger = Exchanger(dialect, self._fleet.loads)
        holder = f"{section.name}/{time.time_ns()}"
        reports = EngineReports(self._http, dialect)
        self._placer = Placer(self._fleet, platform, self._http, dialect, reports, holder)
        retry = settings.retry
        bounds = BudgetBounds(retry.ratio, retry.slack, retry.window_seconds)
        budget = SendBudget(bounds, randomness)
        self._peers = RelayPeers(
            self._fleet,
            platform,
            budget,
            self._placer,
            section.name,
            section.peer_listen,
            randomness,
        )
        relay = Relay(
            self._fleet,
            self._dispatcher,
            self._exchanger,
            FaultFinder(reports),
            budget,
            dialect,
            randomness,
        )
        self._server = Http1Server(section.listen, relay.handle, self._limits)
        self._ready_server = Http1Server(section.ready_listen, self._answer_ready)
        self._metrics_server = Http1Server(section.metrics_listen, _answer_metrics)
        self._ready_path = dialect.ready_path.encode()
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def address(self) -> str:
        """Return the address for callers, once started."""
        return self._server.address

    @property
    def ready_address(self) -> str:
        """Return the address for the balancer's probes, once started."""
        return self._ready_server.address

    @property
    def metrics_address(self) -> str:
        """Return the address of the metrics, once started."""
        return self._metrics_server.address

    @property
    def peers_in_touch(self) -> set[str]:
        """Return the names of the daemons that answered last time."""
        return self._peers.in_touch

    async def run(self) -> None:
        """Serve until asked to end, then end gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await self._stop.wait()
        await self.end()

    async def start(self) -> None:
        """Listen and take up every duty; raises ``OSError`` if an address cannot be bound."""
        fields = {"name": self._settings.relay.name, "listen": self._settings.relay.listen}
        logger.info("starting", extra={"fields": fields})
        for server in (self._ready_server, self._server, self._metrics_server):
            await server.start()
        for follower in self._fleet.followers():
            self._keep(follower.run)
        for duty in (
            self._placer.run,
            self._peers.run,
            self._dispatcher.run,
            self._exchanger.run,
            self._watch_settings,
        ):
            self._keep(duty)

    def _keep(self, duty: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._tasks.append(asyncio.create_task(self._run_duty(duty)))

    async def _run_duty(self, duty: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a duty; its error ends the daemon, since half a daemon misleads its callers."""
        try:
            await duty()
        except Exception:
            logger.exception("a duty failed")
            self._stop.set()

    async def end(self) -> None:
        """Finish what runs within the grace period, then close everything."""
        began = time.monotonic()
        section = self._settings.end
        self._server.draining = True
        logger.info("shutting down", extra={"fields": {"in_flight": self._server.in_flight}})
        await asyncio.sleep(section.balancer_lag_ms / 1000)
        self._server.stop_accepting()
        bound = began + section.grace_seconds - END_MARGIN_SECONDS
        while self._server.in_flight and time.monotonic() < bound:
            await asyncio.sleep(DRAIN_TICK_SECONDS)
        if self._server.in_flight:
            fields = {"in_flight": self._server.in_flight}
            logger.warning("requests cut by the end of the grace period", extra={"fields": fields})
        for server in (self._server, self._ready_server, self._metrics_server):
            server.stop_accepting()
            server.abort()
        for task in self._tasks:
            task.cancel()
        try:
            async with asyncio.timeout(CLOSE_SECONDS):
                await asyncio.gather(self._placer.close(), self._peers.close())
        except TimeoutError:
            logger.warning("the lease and the entry could not be given up in time")
        self._exchanger.connections.close()
        await self._http.close()
        ended: dict[str, object] = {
            "ms": int((time.monotonic() - began) * 1000),
            "platform_calls": self._platform.calls_by_purpose,
        }
        logger.info("ended", extra={"fields": ended})

    def _limits(self) -> CallerLimits:
        config = self._fleet.config
        return config.limits if config is not None else CallerLimits()

    async def _answer_ready(self, request: ServerRequest, responder: Responder) -> None:
        ready = self._fleet.ready and not self._server.draining
        known = request.target.partition(b"?")[0] == self._ready_path
        status = (200 if ready else 503) if known else 404
        await responder.send(status, [], b"ready" if status == 200 else b"not ready")

    def _reload(self) -> None:
        """Read the settings again; a bad file changes nothing."""
        try:
            text = self._path.read_text()
            if text == self._text:
                logger.info("settings unchanged")
                return
            settings = load_relay_settings(self._path)
        except (OSError, SettingsError) as error:
            logger.warning("settings not reloaded", extra={"fields": {"reason": str(error)}})
            return
        self._text = text
        self._settings = settings
        logging.getLogger("ragwortpaddled").setLevel(settings.log.level.upper())
        logger.info("settings reloaded")

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            try:
                changed = self._path.read_text() != self._text
            except OSError as error:
                logger.warning("settings not readable", extra={"fields": {"reason": str(error)}})
                continue
            if changed:
                self._reload()


async def _answer_metrics(request: ServerRequest, responder: Responder) -> None:
    await responder.send(200, [(b"Content-Type", b"text/plain")], telemetry.prometheus_text())


def run_relay(settings: RelaySettings, path: Path, dialect: Dialect, store: StoreDialect) -> None:
    """Run a relay daemon to its end."""
    listener = log_to_stdout(settings.log.level)
    telemetry.configure_telemetry(settings.relay.name, "none", None, "", 0.0)
    try:
        asyncio.run(_run(settings, path, dialect, store))
    finally:
        listener.stop()


async def _run(settings: RelaySettings, path: Path, dialect: Dialect, store: StoreDialect) -> None:
    await RelayDaemon(settings, path, dialect, store).run()
