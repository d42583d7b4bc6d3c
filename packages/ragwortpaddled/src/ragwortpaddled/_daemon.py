"""Builds the entry daemon from its components, starts it and shuts it down."""

import asyncio
import logging
import random
import signal
import time
from collections.abc import Coroutine
from typing import Any

import msgspec

from ragwortpaddled import telemetry
from ragwortpaddled._gateway import Gateway
from ragwortpaddled._settings import Settings
from ragwortpaddled._status import build_status
from ragwortpaddled.coordination import (
    AdmissionController,
    EndpointDirectory,
    Explainer,
    FleetView,
    Ledger,
    Membership,
    PeerLinks,
    PeerService,
    QuarantineTracker,
    RecentRequests,
    RecoveryLimiter,
    ReleaseTracker,
    RetryBudget,
    ServiceProxy,
    ServiceRouter,
    SignalMonitor,
    TokenGenerator,
    VersionReconciler,
)
from ragwortpaddled.errors import SettingsError
from ragwortpaddled.protocol import (
    STATE_KEY,
    EngineClient,
    MemberState,
    Origin,
    PlatformClient,
    ServiceClient,
    encode_value,
)
from ragwortpaddled.state import EndpointTable, GossipTable
from ragwortpaddled.transport import HttpClient, HttpServer, KeyRing, PeerServer

KEY_RELOAD_INTERVAL_SECONDS = 1.0
LISTING_TIMEOUT_SECONDS = 2.0
DRAIN_POLL_SECONDS = 0.05
SERVER_STOP_TIMEOUT_SECONDS = 2.0

logger = logging.getLogger(__name__)


class Daemon:
    """The entry daemon: serves requests until SIGTERM or SIGINT."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        section = settings.daemon
        # Seeded with the name: choices differ between daemons and are repeatable for each daemon.
        random_source = random.Random(section.name)
        self._keys = KeyRing(settings.peers.key_file)
        self._http = HttpClient()
        self._platform = PlatformClient(
            self._http, settings.platform.url, settings.platform.timeout_ms / 1000
        )
        engines = EngineClient(self._http)
        origin = Origin(
            section.name, time.time_ns() // 1_000_000, section.data_centre, section.peer_listen
        )
        table = GossipTable(origin)
        table.publish(STATE_KEY, encode_value(MemberState(False, section.listen)))
        self._links = PeerLinks(self._keys)
        self._membership = Membership(
            table,
            self._links,
            interval_seconds=settings.peers.gossip_interval_ms / 1000,
            suspect_after_seconds=settings.peers.suspect_after_ms / 1000,
            dead_after_seconds=settings.peers.dead_after_ms / 1000,
            random_source=random_source,
        )
        self._release_tracker = ReleaseTracker(self._membership, self._platform, random_source)
        self._fleet_view = FleetView(self._membership, self._release_tracker, random_source)
        self._endpoints = EndpointTable()
        self._endpoint_directory = EndpointDirectory(
            self._endpoints, self._fleet_view, self._platform, engines, random_source
        )
        self._ledger = Ledger(self._fleet_view, self._platform)
        self._admission_controller = AdmissionController(self._fleet_view, self._endpoints)
        self._quarantine_tracker = QuarantineTracker(
            self._fleet_view, self._release_tracker, self._endpoints, engines
        )
        recent_requests = RecentRequests()
        self._version_reconciler = VersionReconciler(
            self._fleet_view,
            self._release_tracker,
            self._endpoint_directory,
            engines,
            self._platform,
        )
        self._signal_monitor = SignalMonitor(
            self._fleet_view,
            self._release_tracker,
            self._endpoint_directory,
            self._quarantine_tracker,
            self._version_reconciler,
            self._platform,
        )
        self._token_generator = TokenGenerator(
            self._endpoint_directory,
            engines,
            self._quarantine_tracker,
            RecoveryLimiter(),
            recent_requests,
            section.data_centre,
            random_source,
        )
        self._service_proxy = ServiceProxy(
            ServiceRouter(self._endpoint_directory, section.data_centre),
            ServiceClient(self._http),
            self._ledger,
            RetryBudget(),
        )
        self._gateway = Gateway(
            self._release_tracker,
            self._admission_controller,
            self._token_generator,
            self._service_proxy,
            self._quarantine_tracker,
            settings.limits,
            self._encode_status,
            recent_requests,
            Explainer(
                recent_requests,
                self._release_tracker,
                self._endpoint_directory,
                self._signal_monitor,
            ),
        )
        service = PeerService(
            self._membership, self._fleet_view, self._release_tracker, self._ledger
        )
        self._peer_server = PeerServer(section.peer_listen, self._keys, service.handle)
        self._http_server = HttpServer(self._gateway.build_application(), section.listen)
        self._tasks: list[asyncio.Task[None]] = []
        self._stop = asyncio.Event()
        self._skip_drain = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal arrives, then drain and close.

        A second signal ends the drain at once.
        """
        self._install_signal_handlers()
        await self._start()
        await self._stop.wait()
        await self._drain()
        await self._close()

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._handle_signal)

    def _handle_signal(self) -> None:
        if self._stop.is_set():
            self._skip_drain.set()
        self._stop.set()

    async def _start(self) -> None:
        for address in self._settings.peers.seeds:
            self._membership.add_seed_address(address)
        self._peer_server.start()
        await self._membership.join()
        self._start_task(self._membership.run())
        self._start_task(self._release_tracker.run())
        self._start_task(self._fleet_view.run())
        self._start_task(self._endpoint_directory.run_vm_listing())
        self._start_task(self._endpoint_directory.run_polling())
        self._start_task(self._admission_controller.run())
        self._start_task(self._quarantine_tracker.run())
        self._start_task(self._ledger.run())
        self._start_task(self._version_reconciler.run())
        self._start_task(self._signal_monitor.run())
        self._start_task(self._reload_keys())
        await self._http_server.start()
        logger.info("listening on %s", self._settings.daemon.listen)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._stop_on_task_end)
        self._tasks.append(task)

    def _stop_on_task_end(self, task: asyncio.Task[None]) -> None:
        """Stop the daemon when a background task ends without being cancelled.

        Peers would otherwise rely on a daemon that runs only some of its tasks.
        """
        if task.cancelled():
            return
        error = task.exception()
        logger.critical("background task ended unexpectedly; shutting down", exc_info=error)
        self._stop.set()

    async def _reload_keys(self) -> None:
        while True:
            await asyncio.sleep(KEY_RELOAD_INTERVAL_SECONDS)
            try:
                if self._keys.reload():
                    logger.info("peer keys reloaded")
            except SettingsError as error:
                logger.warning("peer keys not reloaded: %s", error)

    async def _drain(self) -> None:
        """Announce the shutdown, then wait until requests and operations have ended.

        Requests are accepted for ``balancer_lag_ms`` more, because the load balancer still routes
        here until it notices that the readiness check fails. The whole drain is bounded by
        ``bound_ms``; what is left then is aborted.
        """
        logger.info("shutting down")
        self._gateway.draining = True
        section = self._settings.shutdown
        deadline = time.monotonic() + section.bound_ms / 1000
        await self._membership.leave(self._settings.daemon.listen)
        await self._wait_unless_stopped(
            min(section.balancer_lag_ms / 1000, section.bound_ms / 1000)
        )
        while self._gateway.in_flight and self._can_wait(deadline):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        drain = asyncio.create_task(self._service_proxy.drain())
        while not drain.done() and self._can_wait(deadline):
            await asyncio.wait([drain], timeout=DRAIN_POLL_SECONDS)
        drain.cancel()
        for request_id in self._gateway.abort_requests():
            telemetry.cut_requests.add(1)
            logger.warning("request %s is cut off by the end of the daemon", request_id)
        if self._ledger.unrecorded_completions:
            logger.warning(
                "%d operation outcomes were not recorded", self._ledger.unrecorded_completions
            )

    def _can_wait(self, deadline: float) -> bool:
        return time.monotonic() < deadline and not self._skip_drain.is_set()

    async def _wait_unless_stopped(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._skip_drain.wait()
        except TimeoutError:
            return

    async def _close(self) -> None:
        stopping = asyncio.create_task(self._http_server.stop())
        await asyncio.wait([stopping], timeout=SERVER_STOP_TIMEOUT_SECONDS)
        self._http_server.abort()
        await stopping
        if not self._skip_drain.is_set():
            await self._token_generator.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._version_reconciler.close()
        await self._endpoint_directory.close()
        await self._ledger.close()
        await self._fleet_view.close()
        await self._membership.close()
        await self._peer_server.close()
        self._links.close()
        await self._http.close()
        logger.info("ended")

    def _encode_status(self) -> bytes:
        return msgspec.json.encode(
            build_status(
                self._settings.daemon.name,
                self._fleet_view,
                self._release_tracker,
                self._endpoints,
                self._quarantine_tracker,
                self._signal_monitor,
                self._platform,
                self._links,
                self._peer_server.refused,
                len(self._gateway.in_flight),
                self._ledger.unrecorded_completions,
            )
        )
