"""Follows the published releases by watching the platform and by fetching them from peers.

A few daemons of each data centre, selected by rendezvous hashing, watch the platform; the others
learn of a release by gossip and rarely poll the platform. The number in force never decreases.
"""

import asyncio
import logging
import random
import time

import msgspec

from ragwortpaddled.coordination._membership import Membership
from ragwortpaddled.errors import (
    HistoryLostError,
    ObjectsError,
    PlatformError,
    TransportError,
)
from ragwortpaddled.protocol import (
    ABSENT_VERSION,
    ActiveRelease,
    FetchRelease,
    PlatformClient,
    ReleaseReply,
    encode_value,
)
from ragwortpaddled.protocol import (
    RELEASE_KEY as RELEASE_GOSSIP_KEY,
)
from ragwortpaddled.state import RELEASE_KEY, Release, decode_release, rank_by_rendezvous

WATCHERS_PER_DATA_CENTRE = 2
WATCH_TIMEOUT_SECONDS = 20.0
RETRY_MIN_SECONDS = 0.2
RETRY_MAX_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 60.0
FETCH_TIMEOUT_SECONDS = 2.0
PURPOSE_WATCH = "release-watch"
PURPOSE_READ = "release-read"
PURPOSE_RESTORE = "release-restore"  # of a release that a restored store has lost

logger = logging.getLogger(__name__)


class ReleaseTracker:
    """Holds the release in force, whose number only increases."""

    def __init__(
        self, membership: Membership, platform: PlatformClient, random_source: random.Random
    ) -> None:
        self.current: Release | None = None
        self.adopted_at = 0.0
        self._release_text = ""
        self._stored_version = 0
        self._read_needed = True
        self._membership = membership
        self._platform = platform
        self._random_source = random_source
        self._first_release_adopted = asyncio.Event()
        self._fetch_in_progress = False
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        membership.on_change(self._fetch_newer_from_peers)

    @property
    def number(self) -> int:
        """Return the number of the release in force, 0 before the first."""
        return self.current.number if self.current else 0

    def adopt(self, text: str) -> bool:
        """Put a release in force if its number exceeds the current one; return whether it was.

        :raises ObjectsError: the text is malformed
        """
        release = decode_release(text)
        if release.number <= self.number:
            return False
        self.current = release
        self.adopted_at = time.time()
        self._release_text = text
        self._membership.table.publish(
            RELEASE_GOSSIP_KEY, encode_value(ActiveRelease(release.number))
        )
        logger.info("release %d is in force", release.number)
        self._first_release_adopted.set()
        return True

    def release_above(self, number: int) -> ReleaseReply:
        """Return the release in force if its number exceeds a peer's, else an empty reply."""
        return ReleaseReply(self._release_text if self.number > number else "")

    async def wait_for_first(self) -> None:
        """Wait until the first release is in force."""
        await self._first_release_adopted.wait()

    async def run(self) -> None:
        """Follow the releases on the platform until cancelled."""
        retry_delay_seconds = RETRY_MIN_SECONDS
        while True:
            try:
                if self.current is None or self._read_needed:
                    await self._read()
                if self._is_watcher():
                    await self._watch()
                else:
                    await self._wait_as_non_watcher()
                retry_delay_seconds = RETRY_MIN_SECONDS
            except HistoryLostError as error:
                logger.info("reading the release again: %s", error)
                self._read_needed = True
            except (PlatformError, ObjectsError) as error:
                logger.debug("release not read from the platform: %s", error)
                await asyncio.sleep(retry_delay_seconds * self._random_source.uniform(0.5, 1.5))
                retry_delay_seconds = min(retry_delay_seconds * 2, RETRY_MAX_SECONDS)

    async def _read(self) -> None:
        listing = await self._platform.list_objects(RELEASE_KEY, PURPOSE_READ)
        self._stored_version = listing.revision
        self._read_needed = False
        version, number = ABSENT_VERSION, 0
        for stored in listing.objects:
            if self.adopt(stored.value) or stored.value == self._release_text:
                return
            version, number = stored.version, decode_release(stored.value).number
        if number < self.number:
            await self._platform.put(RELEASE_KEY, self._release_text, version, PURPOSE_RESTORE)
            logger.warning("release %d stored again, the store had release %d", self.number, number)

    def _is_watcher(self) -> bool:
        ranked = rank_by_rendezvous(self._membership.live_names(), PURPOSE_WATCH)
        return self._membership.own_origin.name in ranked[:WATCHERS_PER_DATA_CENTRE]

    async def _watch(self) -> None:
        listing = await self._platform.watch(
            RELEASE_KEY, self._stored_version, WATCH_TIMEOUT_SECONDS, PURPOSE_WATCH
        )
        for stored in listing.objects:
            self._stored_version = max(self._stored_version, stored.version)
            self.adopt(stored.value)

    async def _wait_as_non_watcher(self) -> None:
        """Wait until this daemon is a watcher, or read the platform after the poll interval."""
        poll_interval_seconds = POLL_INTERVAL_SECONDS * self._random_source.uniform(0.5, 1.5)
        deadline = time.monotonic() + poll_interval_seconds
        while not self._is_watcher():
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                await self._read()
                return
            try:
                # Not wait_for: before Python 3.12 it can lose the cancellation at shutdown.
                async with asyncio.timeout(remaining):
                    await self._membership.changed.wait()
            except TimeoutError:
                continue

    def _fetch_newer_from_peers(self) -> None:
        if self._fetch_in_progress:
            return
        highest_number, peer_name = self.number, ""
        for name, state in self._membership.table.state_by_name.items():
            value = state.value(RELEASE_GOSSIP_KEY)
            if not value:
                continue
            number = msgspec.msgpack.decode(value, type=ActiveRelease).number
            if number > highest_number and self._membership.address_of(name):
                highest_number, peer_name = number, name
        if peer_name:
            self._fetch_in_progress = True
            task = asyncio.create_task(self._fetch(peer_name))
            self._fetch_tasks.add(task)
            task.add_done_callback(self._fetch_tasks.discard)

    async def _fetch(self, name: str) -> None:
        try:
            address = self._membership.address_of(name)
            if address is not None:
                await self.fetch_from_peer(address)
        finally:
            self._fetch_in_progress = False

    async def fetch_from_peer(self, address: str) -> None:
        """Fetch the release of a peer and adopt it if its number exceeds the current one."""
        try:
            reply = await self._membership.links.request(
                address, FetchRelease(self.number), FETCH_TIMEOUT_SECONDS
            )
            if isinstance(reply, ReleaseReply) and reply.text:
                self.adopt(reply.text)
        except (TransportError, ObjectsError) as error:
            logger.debug("release not fetched from %s: %s", address, error)
