"""Tracks the configuration in force and the registered endpoints."""

import asyncio
import logging
import random
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import replace

from ragwortpaddled.coordination._object_watcher import ObjectWatcher
from ragwortpaddled.errors import ObjectsError
from ragwortpaddled.protocol import (
    Dialect,
    EndpointEntry,
    PlatformClient,
    RelayConfig,
    StoredObject,
    era_of,
    revision_of,
)
from ragwortpaddled.state import (
    HOLD_SECONDS,
    Departures,
    EndpointLoads,
    LinkLoads,
    RequestLimits,
    RouteTable,
)

# Bounds of the pause between watches, as shares of the time within which a leaving endpoint must
# stop receiving new requests: the minimum with few daemons, the maximum with many.
MIN_WATCH_PAUSE_SHARE = 0.1
MAX_WATCH_PAUSE_SHARE = 0.5
# Sum over all daemons. Heartbeats change entries continuously, and each store call is billed.
MAX_ENDPOINT_WATCHES_PER_SECOND = 45.0
DEPARTURES_REPORTED_SECONDS = 5.0  # after the first list of a restored store

logger = logging.getLogger(__name__)


class RelayDirectory:
    """The configuration, whose version never decreases, and the endpoints by pool."""

    def __init__(
        self,
        platform: PlatformClient,
        dialect: Dialect,
        random_source: random.Random,
        drain_seconds: float,
    ) -> None:
        self.config: RelayConfig | None = None
        self.config_value = ""
        self.routes = RouteTable(())
        self.loads = EndpointLoads()
        self.links = LinkLoads()
        self.request_limits = RequestLimits(random_source)
        self.entry_by_id: dict[str, EndpointEntry] = {}
        self._id_by_address: dict[str, str] = {}
        self._departures = Departures()
        self._ids_by_pool: defaultdict[str, set[str]] = defaultdict(set)
        self._dialect = dialect
        self._drain_seconds = drain_seconds
        self._change_listeners: list[Callable[[], None]] = []
        config_prefix = dialect.config_key.rpartition("/")[0] + "/"
        self._config_watcher = ObjectWatcher(
            platform, config_prefix, self._on_config_change, random_source
        )
        self._endpoint_watcher = ObjectWatcher(
            platform,
            dialect.endpoints_prefix,
            self._on_endpoint_change,
            random_source,
            watch_pause_seconds=drain_seconds * MIN_WATCH_PAUSE_SHARE,
        )

    def add_change_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the configuration or of an endpoint's entry."""
        self._change_listeners.append(listener)

    def watchers(self) -> tuple[ObjectWatcher, ObjectWatcher]:
        """Return the watchers of the configuration and the endpoints, which the daemon runs."""
        return self._config_watcher, self._endpoint_watcher

    @property
    def endpoint_watcher(self) -> ObjectWatcher:
        """Return the watcher of the endpoints' entries."""
        return self._endpoint_watcher

    def set_watch_pause(self, daemons: int, *, immediate: bool) -> None:
        """Set the pause between watches of the endpoints from the number of daemons that watch.

        During the pause, peers forward changes by gossip. The daemon that places layers must see
        changes without delay, so it sets ``immediate`` and keeps the minimum pause.
        """
        min_seconds = self._drain_seconds * MIN_WATCH_PAUSE_SHARE
        max_seconds = min_seconds if immediate else self._drain_seconds * MAX_WATCH_PAUSE_SHARE
        seconds = min(max(min_seconds, daemons / MAX_ENDPOINT_WATCHES_PER_SECOND), max_seconds)
        self._endpoint_watcher.watch_pause_seconds = seconds

    @property
    def ready(self) -> bool:
        """Return whether a configuration is in force and the endpoints have been listed."""
        return self.config is not None and self._endpoint_watcher.initial_list_done.is_set()

    def endpoints_in_pool(self, pool: str) -> list[EndpointEntry]:
        """Return the registered endpoints of a pool."""
        return [self.entry_by_id[endpoint_id] for endpoint_id in self._ids_by_pool[pool]]

    def entry_at(self, address: str) -> EndpointEntry | None:
        """Return the endpoint that was registered last at an address."""
        endpoint_id = self._id_by_address.get(address)
        return None if endpoint_id is None else self.entry_by_id[endpoint_id]

    def may_have_left(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint's removal is deferred; it serves only if no other can."""
        key = self._dialect.endpoints_prefix + entry.id
        return self._endpoint_watcher.is_removal_deferred(key)

    def departures(self) -> dict[str, tuple[int, int]]:
        """Return the endpoints that left before a recent restore of the store, for the peers.

        The values are the incarnation and the store's era at that time.
        """
        watcher = self._endpoint_watcher
        if time.monotonic() - watcher.era_listed_at > DEPARTURES_REPORTED_SECONDS:
            return {}
        return self._departures.before_era(era_of(watcher.revision))

    def merge_departures(self, departure_by_id: Mapping[str, tuple[int, int]]) -> None:
        """Note endpoints that left before a peer's store was restored."""
        for endpoint_id, (incarnation, era) in departure_by_id.items():
            if self._departures.has_left_before(endpoint_id, incarnation, era + 1):
                continue
            self._departures.record(endpoint_id, incarnation, era)
            key = self._dialect.endpoints_prefix + endpoint_id
            stored = self._endpoint_watcher.object_by_key.get(key)
            if stored is not None:
                self._on_endpoint_change(key, stored)

    def apply_config(self, value: str, version: int = 0) -> bool:
        """Apply a configuration if it is valid and newer; return whether it was applied."""
        try:
            config = self._dialect.decode_config(
                StoredObject(self._dialect.config_key, version, value)
            )
        except ObjectsError as error:
            logger.error(
                "malformed configuration ignored", extra={"fields": {"reason": str(error)}}
            )
            return False
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.config_value = value
        self.routes = RouteTable(config.routes)
        fields = {"version": config.version, "routes": len(config.routes)}
        logger.info("configuration applied", extra={"fields": fields})
        self._notify_listeners()
        return True

    def _on_config_change(self, key: str, stored: StoredObject | None) -> None:
        if stored is None or key != self._dialect.config_key:
            return
        self.apply_config(stored.value, stored.version)

    def _on_endpoint_change(self, key: str, stored: StoredObject | None) -> None:
        endpoint_id = key.removeprefix(self._dialect.endpoints_prefix)
        previous = self.entry_by_id.get(endpoint_id)
        entry = self._usable_entry(stored) if stored is not None else None
        if stored is None and previous is not None:
            era = era_of(self._endpoint_watcher.version_of_last_change(key))
            self._departures.record(endpoint_id, previous.incarnation, era)
        if entry == previous:
            return
        if previous is not None:
            self._ids_by_pool[previous.pool].discard(endpoint_id)
            if self._id_by_address.get(previous.address) == endpoint_id:
                del self._id_by_address[previous.address]
        if entry is None:
            self.entry_by_id.pop(endpoint_id, None)
            self.loads.remove_unlisted(set(self.entry_by_id))
            self.request_limits.remove_unlisted(self.entry_by_id.keys())
            logger.info("endpoint gone", extra={"fields": {"endpoint": endpoint_id}})
            self._notify_listeners()
            return
        if previous is None or previous.incarnation != entry.incarnation:
            self.loads.record_success(endpoint_id)
        self.entry_by_id[endpoint_id] = entry
        self._ids_by_pool[entry.pool].add(endpoint_id)
        self._id_by_address[entry.address] = endpoint_id
        fields = {
            "endpoint": endpoint_id,
            "address": entry.address,
            "pool": entry.pool,
            "leaving": entry.leaving,
            "layers": str(entry.layers or ""),
        }
        logger.info("endpoint entry", extra={"fields": fields})
        self._notify_listeners()

    def _usable_entry(self, stored: StoredObject) -> EndpointEntry | None:
        """Decode an entry; one that only an older copy of the store lists as ready is leaving."""
        entry = self._decode_endpoint(stored)
        return self._hold_if_departed(entry, stored) if entry is not None else None

    def _hold_if_departed(self, entry: EndpointEntry, stored: StoredObject) -> EndpointEntry:
        era = era_of(stored.version)
        if entry.leaving:
            self._departures.record(entry.id, entry.incarnation, era)
            return entry
        departed = self._departures.has_left_before(entry.id, entry.incarnation, era)
        if not departed or not self._endpoint_watcher.may_be_from_copy(stored.version):
            self._departures.discard(entry.id)
            return entry
        fields = {"endpoint": entry.id, "era": era, "revision": revision_of(stored.version)}
        logger.info("endpoint that left is listed by a restored store", extra={"fields": fields})
        asyncio.get_running_loop().call_later(HOLD_SECONDS, self._end_hold, stored)
        return replace(entry, leaving=True)

    def _end_hold(self, held: StoredObject) -> None:
        """Use an endpoint that the store still lists after the hold."""
        if self._endpoint_watcher.object_by_key.get(held.key) != held:
            return
        self._departures.discard(held.key.removeprefix(self._dialect.endpoints_prefix))
        self._on_endpoint_change(held.key, held)

    def _decode_endpoint(self, stored: StoredObject) -> EndpointEntry | None:
        try:
            return self._dialect.decode_endpoint(stored)
        except ObjectsError as error:
            fields = {"key": stored.key, "reason": str(error)}
            logger.warning("malformed endpoint entry treated as absent", extra={"fields": fields})
            return None

    def _notify_listeners(self) -> None:
        for listener in self._change_listeners:
            listener()
