"""Tells failures of endpoints from the loss of this VM's own links to them.

When an endpoint cannot be reached, the monitor opens connections to some others. If none accepts
one, the VM itself is cut off: it concludes nothing about the endpoint and sends its requests
through peers, while the monitor looks for the links' return. Otherwise a peer is asked about the
endpoint, and only what neither of them reaches for some time is reported as lost.
"""

import asyncio
import logging
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum, auto

from ragwortpaddled.coordination._relay_directory import RelayDirectory
from ragwortpaddled.errors import NotSentError
from ragwortpaddled.protocol import EndpointEntry
from ragwortpaddled.state import (
    MIN_UNREACHABLE_ENDPOINTS,
    MIN_UNREACHABLE_SECONDS,
    EndpointReach,
)
from ragwortpaddled.transport import Http1Pool, loop_clock, wait_running

# New connections are billed, so a few endpoints are tried first. A sound one accepts within
# milliseconds; if none does, more are tried, since many endpoints may have failed at once.
FIRST_COMPARED_ENDPOINTS = 4
MAX_COMPARED_ENDPOINTS = 32
FIRST_ATTEMPTS_SECONDS = 0.05
PROBED_ENDPOINTS = 8  # in each round while the links are lost
PROBE_INTERVAL_SECONDS = 0.5
MAX_CONCURRENT_PEER_PROBES = 4  # the rest of a peer's messages must not wait for them
# While several endpoints stream to this VM, an event arrives every few milliseconds.
MAX_SILENCE_SECONDS = 0.25
SILENCE_POLL_SECONDS = 0.1
MIN_CHECK_INTERVAL_SECONDS = 0.5  # a check that has found working links holds for so long

# Asks a peer whether an address accepts connections; None if no peer can tell. The second argument
# is the number of seconds for which it has not accepted any here.
PeerProbe = Callable[[str, float], Awaitable[bool | None]]

logger = logging.getLogger(__name__)


class _Connect(Enum):
    """The result of a connection attempt."""

    ACCEPTED = auto()
    REFUSED = auto()  # no process listens there, which a moment of silence can't cause
    FAILED = auto()


class ReachMonitor:
    """Checks unreachable endpoints, and this VM's own links."""

    def __init__(
        self,
        relay_directory: RelayDirectory,
        connections: Http1Pool,
        random_source: random.Random,
    ) -> None:
        self._relay_directory = relay_directory
        self._connections = connections
        self._random = random_source
        self._reach = EndpointReach()
        self._peer_probe: PeerProbe | None = None
        self._check_task: asyncio.Task[None] | None = None
        self._verify_task_by_id: dict[str, asyncio.Task[None]] = {}
        self._open_streams_by_address: Counter[str] = Counter()
        self._received_at = 0.0  # on the clock of the event loop, which does not count pauses
        self._checked_at = float("-inf")  # when the last check ended
        self._peer_probe_count = 0
        self._links_lost: asyncio.Future[None] | None = None

    @property
    def cut(self) -> bool:
        """Return whether this VM is cut off from the endpoints."""
        return self._reach.cut

    @property
    def links_lost(self) -> asyncio.Future[None]:
        """Return a future that ends when the links are lost; not to be awaited while they are."""
        if self._links_lost is None:
            self._links_lost = asyncio.get_running_loop().create_future()
        return self._links_lost

    def record_stream_opened(self, address: str) -> None:
        """Record that an endpoint has begun to stream a response to this VM."""
        self._open_streams_by_address[address] += 1

    def record_received(self) -> None:
        """Record that a part of a stream has arrived."""
        self._received_at = loop_clock().time()

    def record_stream_closed(self, address: str) -> None:
        """Record the end of a stream."""
        self._open_streams_by_address[address] -= 1
        if not self._open_streams_by_address[address]:
            del self._open_streams_by_address[address]

    def set_peer_probe(self, probe: PeerProbe) -> None:
        """Set the function that asks a peer about an endpoint."""
        self._peer_probe = probe

    async def check_links(self, unreachable_address: str) -> bool:
        """Connect to others after an endpoint failed to connect; return whether links are lost."""
        if not self.cut:
            await self._run_check(unreachable_address)
        return self.cut

    def check_endpoint(
        self, entry: EndpointEntry, on_reachable: Callable[[], float] | None = None
    ) -> None:
        """Find out in the background whether an endpoint that did not respond is lost.

        ``on_reachable`` is given if another engine has named it: it is called if the endpoint
        accepts connections from this VM, and returns for how many seconds it is still avoided. A
        check that goes on is not begun again.
        """
        if entry.id in self._verify_task_by_id:
            return
        task = asyncio.create_task(self._verify_lost(entry, on_reachable))
        self._verify_task_by_id[entry.id] = task
        task.add_done_callback(lambda _: self._verify_task_by_id.pop(entry.id, None))

    def check_named_engine(self, endpoint_id: str, *, full: bool) -> None:
        """Check an engine that another one, or a late refusal, has named as failed.

        One that accepts connections is avoided for a shorter time; ``full``: it may have lacked
        memory.
        """
        entry = self._relay_directory.entry_by_id.get(endpoint_id)
        if entry is None:
            return
        loads = self._relay_directory.loads
        self.check_endpoint(entry, lambda: loads.record_reachable(endpoint_id, full=full))

    async def accepts_connections(self, entry: EndpointEntry) -> bool | None:
        """Return whether an endpoint accepts a new connection: one that has crashed does not.

        None means that neither this VM nor a peer can tell.
        """
        if not self.cut and await self._connects(entry.address):
            return True
        cut = await self.check_links(entry.address)
        accepts = await self._ask_peer(entry.address)
        if accepts is None and not cut:
            return False
        return accepts

    async def probe(self, address: str, unreachable_seconds: float) -> bool | None:
        """Return whether an endpoint accepts connections from this VM, None if it cannot tell.

        Answers a peer. If the peer has not reached the endpoint for some time and this VM doesn't
        either, both of them report it as lost.
        """
        entry = self._relay_directory.entry_at(address)
        if self.cut or entry is None or self._peer_probe_count >= MAX_CONCURRENT_PEER_PROBES:
            return None
        self._peer_probe_count += 1
        try:
            accepts = await self._connects(address)
            if not accepts and unreachable_seconds >= MIN_UNREACHABLE_SECONDS:
                if await self.check_links(address):
                    return None
                self._record_lost(entry, {"endpoint": entry.id, "reported_by_peer": True})
        finally:
            self._peer_probe_count -= 1
        return accepts

    async def run(self) -> None:
        """Look for the loss and the return of the links, for the life of the daemon."""
        while True:
            if self.cut:
                await asyncio.sleep(PROBE_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2))
                self._record(await self._connect_to(self._sample(PROBED_ENDPOINTS)))
                continue
            await asyncio.sleep(SILENCE_POLL_SECONDS)
            if self._all_streams_silent():
                await self._run_check()

    def _all_streams_silent(self) -> bool:
        return (
            len(self._open_streams_by_address) >= MIN_UNREACHABLE_ENDPOINTS
            and loop_clock().time() - self._received_at > MAX_SILENCE_SECONDS
        )

    async def _run_check(self, unreachable_address: str = "") -> None:
        """Connect to some endpoints; concurrent calls, and those soon after, share one check."""
        if self._check_task is None:
            if time.monotonic() - self._checked_at < MIN_CHECK_INTERVAL_SECONDS:
                return
            self._check_task = asyncio.create_task(self._check(unreachable_address))
            self._check_task.add_done_callback(self._end_check)
        await asyncio.shield(self._check_task)

    async def _check(self, unreachable_address: str) -> None:
        others = self._sample(MAX_COMPARED_ENDPOINTS, excluded_address=unreachable_address)
        connected_by_address = await self._connect_to(others)
        if unreachable_address:
            connected_by_address[unreachable_address] = False
        self._record(connected_by_address)
        self._checked_at = time.monotonic()

    def _end_check(self, task: asyncio.Task[None]) -> None:
        self._check_task = None
        if not task.cancelled() and task.exception() is not None:
            logger.error("check of the links to endpoints failed", exc_info=task.exception())

    async def _verify_lost(
        self, entry: EndpointEntry, on_reachable: Callable[[], float] | None
    ) -> None:
        """Report an endpoint as lost if neither this VM nor a peer reaches it for some time.

        One that another engine has named too is lost at once if it refuses connections.
        """
        failed_at = time.monotonic()
        while True:
            unreachable_seconds = time.monotonic() - failed_at
            connect = await self._try_connect(entry.address)
            reachable = connect is _Connect.ACCEPTED
            if not reachable and await self.check_links(entry.address):
                return
            from_peer = (
                None if reachable else await self._ask_peer(entry.address, unreachable_seconds)
            )
            fields: dict[str, object] = {
                "endpoint": entry.id,
                "reachable": reachable,
                "refused": connect is _Connect.REFUSED,
                "named_by_engine": on_reachable is not None,
                "reachable_from_peer": from_peer,
                "unreachable_ms": int(unreachable_seconds * 1000),
            }
            if reachable and on_reachable is not None:
                fields["avoided_ms"] = int(on_reachable() * 1000)
            if reachable or from_peer is not False:
                logger.info("endpoint not confirmed as lost", extra={"fields": fields})
                return
            refused_when_named = connect is _Connect.REFUSED and on_reachable is not None
            if refused_when_named or unreachable_seconds >= MIN_UNREACHABLE_SECONDS:
                break
            elapsed_seconds = time.monotonic() - failed_at
            await asyncio.sleep(max(0.0, MIN_UNREACHABLE_SECONDS - elapsed_seconds))
        self._record_lost(entry, fields)

    def _record_lost(self, entry: EndpointEntry, fields: dict[str, object]) -> None:
        if self._relay_directory.entry_by_id.get(entry.id) == entry:
            self._relay_directory.loads.record_lost(entry.id)
            logger.warning("endpoint lost", extra={"fields": fields})

    async def _ask_peer(self, address: str, unreachable_seconds: float = 0.0) -> bool | None:
        if self._peer_probe is None:
            return None
        return await self._peer_probe(address, unreachable_seconds)

    def _sample(self, count: int, *, excluded_address: str = "") -> list[str]:
        addresses = {
            entry.address
            for entry in self._relay_directory.entry_by_id.values()
            if not entry.leaving
        }
        others = sorted(addresses - {excluded_address})
        return self._random.sample(others, min(count, len(others)))

    async def _connect_to(self, addresses: Sequence[str]) -> dict[str, bool]:
        """Return whether each endpoint tried accepts a connection; stop after one that does."""
        task_by_address: dict[str, asyncio.Task[bool]] = {}
        pending: set[asyncio.Task[bool]] = set()
        try:
            for first, end, timeout in (
                (0, FIRST_COMPARED_ENDPOINTS, FIRST_ATTEMPTS_SECONDS),
                (FIRST_COMPARED_ENDPOINTS, len(addresses), float("inf")),
            ):
                for address in addresses[first:end]:
                    task_by_address[address] = asyncio.create_task(self._connects(address))
                    pending.add(task_by_address[address])
                if await _any_connects(pending, timeout):
                    break
        finally:
            for task in pending:
                task.cancel()
        return {
            address: task.result()
            for address, task in task_by_address.items()
            if task.done() and not task.cancelled() and task not in pending
        }

    async def _connects(self, address: str) -> bool:
        return await self._try_connect(address) is _Connect.ACCEPTED

    async def _try_connect(self, address: str) -> _Connect:
        try:
            connection = await self._connections.acquire(address, fresh=True)
        except NotSentError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return _Connect.REFUSED if refused else _Connect.FAILED
        connection.close()
        return _Connect.ACCEPTED

    def _record(self, connected_by_address: dict[str, bool]) -> None:
        lasted_seconds = time.monotonic() - self._reach.changed_at
        if not self._reach.record_probes(connected_by_address):
            return
        fields = {
            "connected_by_address": connected_by_address,
            "lasted_ms": int(lasted_seconds * 1000),
        }
        if self.cut:
            self._connections.close()  # idle connections may be cut silently
            self._relay_directory.loads.forget_own_failures()
            self.links_lost.set_result(None)
            self._links_lost = None
            logger.warning("links to the endpoints lost", extra={"fields": fields})
        else:
            logger.info("links to the endpoints are back", extra={"fields": fields})


async def _any_connects(pending: set[asyncio.Task[bool]], timeout: float) -> bool:
    """Wait until a task returns true, all end or the time is over; remove those that ended."""
    ends_at = loop_clock().time() + timeout
    while pending:
        await wait_running(pending, max(0.0, ends_at - loop_clock().time()))
        done = {task for task in pending if task.done()}
        pending -= done
        if any(task.result() for task in done):
            return True
        if not done:
            return False
    return False
