"""The relay daemon: assembly of its components, start-up, settings reload and shutdown."""

import asyncio
import logging
import random
import signal
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

from ragwortpaddled import telemetry
from ragwortpaddled._logs import start_stdout_logging
from ragwortpaddled._relay_settings import RelaySettings, load_relay_settings
from ragwortpaddled.coordination import (
    FORWARDING_HEADER_BYTES,
    CrashTracker,
    Dispatcher,
    EndpointClient,
    EndpointHttp,
    EngineReports,
    Forwarding,
    LayerPlacer,
    ReachMonitor,
    Relay,
    RelayDirectory,
    RelayPeers,
    RequestForwarder,
    StallLocator,
    SuspicionLog,
)
from ragwortpaddled.errors import SettingsError
from ragwortpaddled.protocol import Dialect, PlatformClient, StoreDialect
from ragwortpaddled.state import (
    CrashCause,
    DrainPlan,
    ForwardingPeers,
    PoolRetryBudget,
    RetryBudgetBounds,
)
from ragwortpaddled.transport import (
    CallerLimits,
    Http1Client,
    Http1Pool,
    Http1Server,
    KeyRing,
    RawHeaders,
    Responder,
    ServerRequest,
)

DRAIN_POLL_SECONDS = 0.05
CLOSE_POLL_SECONDS = 0.01
TASK_RESTART_SECONDS = 1.0
SETTINGS_POLL_SECONDS = 2.0  # the file may change without a SIGHUP

TaskFunction = Callable[[], Coroutine[Any, Any, None]]

logger = logging.getLogger(__name__)


class RelayDaemon:
    """Runs the relay until SIGTERM or SIGINT."""

    def __init__(
        self, settings: RelaySettings, path: Path, dialect: Dialect, store_dialect: StoreDialect
    ) -> None:
        section = settings.relay
        self._settings = settings
        self._settings_path = path
        self._settings_text = path.read_text()
        random_source = random.Random()
        http = self._http = Http1Client()
        platform = self._platform = PlatformClient(
            http, settings.store.url, settings.store.timeout_ms / 1000, store_dialect
        )
        drain_seconds = settings.store.leave_ms / 1000
        self._relay_directory = RelayDirectory(platform, dialect, random_source, drain_seconds)
        self._dispatcher = Dispatcher(self._relay_directory, section.data_centre, random_source)
        keys = KeyRing()
        connections = Http1Pool()
        self._forwarding_peers = ForwardingPeers(section.data_centre, random_source)
        self._reach_monitor = ReachMonitor(self._relay_directory, connections, random_source)
        self._endpoint_client = EndpointClient(
            dialect,
            self._relay_directory.loads,
            self._relay_directory.request_limits,
            self._reach_monitor,
            connections,
            self._forwarding_peers,
            keys,
        )
        self._forwarder = RequestForwarder(
            self._relay_directory, self._reach_monitor, connections, keys, dialect
        )
        endpoint_http = EndpointHttp(http, self._reach_monitor, self._forwarding_peers, keys)
        holder = f"{section.name}/{time.time_ns()}"
        reports = EngineReports(endpoint_http, dialect)
        self._layer_placer = LayerPlacer(
            self._relay_directory, platform, endpoint_http, dialect, reports, holder
        )
        self._crash_tracker = CrashTracker(self._reach_monitor, platform, random_source)
        retry = settings.retry
        bounds = RetryBudgetBounds(retry.ratio, retry.slack, retry.window_seconds)
        retry_budget = PoolRetryBudget(bounds, random_source)
        self._suspicion_log = SuspicionLog(self._relay_directory.loads)
        self._peers = RelayPeers(
            self._relay_directory,
            platform,
            retry_budget,
            self._layer_placer,
            self._crash_tracker,
            self._suspicion_log,
            Forwarding(
                self._reach_monitor,
                self._forwarder,
                self._forwarding_peers,
                keys,
                lambda: self._forward_server.address if self._forward_server is not None else "",
            ),
            section.name,
            section.data_centre,
            section.peer_listen,
            random_source,
        )
        relay = self._relay = Relay(
            self._relay_directory,
            self._dispatcher,
            self._endpoint_client,
            StallLocator(reports, self._reach_monitor),
            self._reach_monitor,
            self._crash_tracker,
            retry_budget,
            dialect,
            random_source,
        )

        def request_id(headers: RawHeaders) -> str:
            return dialect.parse_request_headers(headers).attempt_id

        self._server = Http1Server(section.listen, relay.handle, self._caller_limits, request_id)
        self._ready_server = Http1Server(section.ready_listen, self._handle_ready)
        self._metrics_server = Http1Server(section.metrics_listen, _handle_metrics)
        self._forward_server = (
            Http1Server(
                section.forward_listen, self._forwarder.handle, self._forward_limits, request_id
            )
            if section.forward_listen
            else None
        )
        servers = (self._ready_server, self._server, self._metrics_server, self._forward_server)
        self._servers = [server for server in servers if server is not None]
        self._ready_path = dialect.ready_path.encode()
        self._stop_requested = asyncio.Event()
        self._task_by_function: dict[TaskFunction, asyncio.Task[None]] = {}

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
    def reachable_peers(self) -> set[str]:
        """Return the names of the peers that responded to the last exchange."""
        return self._peers.reachable

    @property
    def active_quarantines(self) -> list[CrashCause]:
        """Return the quarantines that are in force."""
        return self._crash_tracker.records.causes()

    async def run(self) -> None:
        """Serve until a stop is requested, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        await self.start()
        await self._stop_requested.wait()
        await self.shutdown()

    async def start(self) -> None:
        """Start servers and background tasks; raises ``OSError`` if an address cannot be bound."""
        fields = {"name": self._settings.relay.name, "listen": self._settings.relay.listen}
        logger.info("starting", extra={"fields": fields})
        for server in self._servers:
            await server.start()
        for object_watcher in self._relay_directory.watchers():
            self._start_task(object_watcher.run)
        for task_function in (
            self._layer_placer.run,
            self._peers.run,
            self._dispatcher.run,
            self._endpoint_client.run,
            self._reach_monitor.run,
            self._crash_tracker.run,
            self._suspicion_log.run,
            self._watch_settings,
        ):
            self._start_task(task_function)

    def _start_task(self, task_function: TaskFunction) -> None:
        self._task_by_function[task_function] = asyncio.create_task(self._run_task(task_function))

    async def _run_task(self, task_function: TaskFunction) -> None:
        """Run a background task; if it fails, run it again, since callers rely on all tasks."""
        name = getattr(task_function, "__qualname__", "")
        while True:
            try:
                await task_function()
                return
            except Exception:
                logger.exception(
                    "background task failed, restarting", extra={"fields": {"task": name}}
                )
                telemetry.background_task_failures.add(1, {"task": name})
            await asyncio.sleep(TASK_RESTART_SECONDS)

    async def shutdown(self) -> None:
        """Answer the requests in flight within the grace period, then close everything."""
        started_at = time.monotonic()
        section = self._settings.end
        plan = DrainPlan.create(started_at, section.grace_seconds, section.balancer_lag_ms / 1000)
        self._server.draining = self._forwarder.draining = True
        if self._forward_server is not None:
            self._forward_server.draining = True
        self._relay.start_draining(plan)
        logger.info("shutting down", extra={"fields": {"in_flight": self._server.in_flight}})
        # Another daemon places layers while requests still run here.
        releases = [self._start_closing(self._layer_placer.run, self._layer_placer.close)]
        await asyncio.sleep(plan.connections_until - started_at)
        self._server.stop_accepting()
        await self._wait_for_requests(plan.requests_until)
        for server in self._servers:
            server.stop_accepting()
        closed_by = min(time.monotonic() + plan.sending_seconds, plan.requests_until)
        await self._wait_for_connections(closed_by)
        await self._wait_for_requests(plan.requests_until)
        released_by = time.monotonic() + plan.releasing_seconds
        releases.append(self._start_closing(self._peers.run, self._peers.close))
        if self._in_flight:
            fields = {"in_flight": self._server.in_flight, "forwarded": self._forwarded_in_flight}
            logger.warning(
                "requests ended at the end of the grace period", extra={"fields": fields}
            )
            self._relay.end_requests()
            self._forwarder.end_requests(plan.abort_reason(time.monotonic()))
            for server in self._servers:
                server.refuse_partial_requests()
            await self._wait_for_requests(plan.responses_until)
            await self._wait_for_connections(plan.responses_until)
        for server in self._servers:
            server.stop_accepting()
            server.abort(plan.abort_reason(time.monotonic()))
        for task in self._task_by_function.values():
            task.cancel()
        try:
            async with asyncio.timeout(released_by - time.monotonic()):
                await asyncio.gather(*releases)
        except TimeoutError:
            logger.warning("lease and daemon entry not released before the close timeout")
        self._endpoint_client.close()
        self._http.close()
        summary: dict[str, object] = {
            "ms": int((time.monotonic() - started_at) * 1000),
            "platform_calls": self._platform.calls_by_purpose,
        }
        logger.info("shutdown complete", extra={"fields": summary})

    def _start_closing(self, run: TaskFunction, close: TaskFunction) -> asyncio.Task[None]:
        """Close a component once its background task has ended, which could undo that."""

        async def stop_and_close() -> None:
            task = self._task_by_function[run]
            task.cancel()
            await asyncio.wait([task])
            await close()

        return asyncio.create_task(stop_and_close())

    async def _wait_for_requests(self, until: float) -> None:
        """Wait until no request is in flight, or until a time on the monotonic clock."""
        while self._in_flight and time.monotonic() < until:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _wait_for_connections(self, until: float) -> None:
        """Wait until no connection is open, or until a time on the monotonic clock.

        A response reaches its caller for certain if the caller closes the connection first.
        """
        while any(server.open_connections for server in self._servers):
            if time.monotonic() >= until:
                return
            await asyncio.sleep(CLOSE_POLL_SECONDS)

    @property
    def _in_flight(self) -> int:
        """Return the number of unanswered requests of callers and of peers."""
        return self._server.in_flight + self._forwarded_in_flight

    @property
    def _forwarded_in_flight(self) -> int:
        return self._forward_server.in_flight if self._forward_server is not None else 0

    def _caller_limits(self) -> CallerLimits:
        config = self._relay_directory.config
        return config.limits if config is not None else CallerLimits()

    def _forward_limits(self) -> CallerLimits:
        limits = self._caller_limits()
        return replace(limits, max_header_bytes=limits.max_header_bytes + FORWARDING_HEADER_BYTES)

    async def _handle_ready(self, request: ServerRequest, responder: Responder) -> None:
        # A VM that can send no request to an endpoint should get none.
        has_link = not self._reach_monitor.cut or bool(self._forwarding_peers.candidates())
        ready = self._relay_directory.ready and has_link and not self._server.draining
        path_matches = request.target.partition(b"?")[0] == self._ready_path
        status = (200 if ready else 503) if path_matches else 404
        await responder.send(status, [], b"ready" if status == 200 else b"not ready")

    def _reload_settings(self) -> None:
        """Reload the settings file; if it is invalid, the current settings stay in force."""
        try:
            text = self._settings_path.read_text()
            if text == self._settings_text:
                logger.info("settings unchanged")
                return
            settings = load_relay_settings(self._settings_path)
        except (OSError, UnicodeDecodeError, SettingsError) as error:
            logger.warning("settings not reloaded", extra={"fields": {"reason": str(error)}})
            return
        self._settings_text = text
        self._settings = settings
        logging.getLogger("ragwortpaddled").setLevel(settings.log.level.upper())
        logger.info("settings reloaded")

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            try:
                changed = self._settings_path.read_text() != self._settings_text
            except (OSError, UnicodeDecodeError) as error:
                logger.warning(
                    "settings file not readable", extra={"fields": {"reason": str(error)}}
                )
                continue
            if changed:
                self._reload_settings()


async def _handle_metrics(request: ServerRequest, responder: Responder) -> None:
    await responder.send(200, [(b"Content-Type", b"text/plain")], telemetry.prometheus_text())


def run_relay(settings: RelaySettings, path: Path, dialect: Dialect, store: StoreDialect) -> None:
    """Run a relay daemon until it is stopped."""
    listener = start_stdout_logging(settings.log.level)
    telemetry.configure_telemetry(settings.relay.name, "none", None, "", 0.0)
    try:
        asyncio.run(_run(settings, path, dialect, store))
    finally:
        listener.stop()


async def _run(settings: RelaySettings, path: Path, dialect: Dialect, store: StoreDialect) -> None:
    await RelayDaemon(settings, path, dialect, store).run()
