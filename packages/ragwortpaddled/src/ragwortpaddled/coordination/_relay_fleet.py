"""What the relay knows: the configuration in force and the endpoints that registered."""

import logging
import random
from collections import defaultdict
from collections.abc import Callable

from ragwortpaddled.coordination._object_follower import ObjectFollower
from ragwortpaddled.errors import ObjectsError
from ragwortpaddled.protocol import (
    Dialect,
    EndpointEntry,
    Platform,
    RelayConfig,
    StoredObject,
)
from ragwortpaddled.state import EndpointLoads, LinkLoads, RouteTable

# Of the time within which a leaving endpoint must get nothing new: the pause between watches of a
# few daemons, and that of many.
MIN_PAUSE_SHARE = 0.1
MAX_PAUSE_SHARE = 0.5
# Of all daemons together. Heartbeats change entries without a pause, and each call is priced.
ENDPOINT_WATCHES_PER_SECOND = 45.0

logger = logging.getLogger(__name__)


class RelayFleet:
    """The configuration, which never goes back, and the endpoints by pool."""

    def __init__(
        self,
        platform: Platform,
        dialect: Dialect,
        random_source: random.Random,
        leave_seconds: float,
    ) -> None:
        self.config: RelayConfig | None = None
        self.config_value = ""
        self.routes = RouteTable(())
        self.loads = EndpointLoads()
        self.links = LinkLoads()
        self.entry_by_id: dict[str, EndpointEntry] = {}
        self._ids_by_pool: defaultdict[str, set[str]] = defaultdict(set)
        self._dialect = dialect
        self._leave_seconds = leave_seconds
        self._listeners: list[Callable[[], None]] = []
        config_prefix = dialect.config_key.rpartition("/")[0] + "/"
        self._config_follower = ObjectFollower(
            platform, config_prefix, self._take_config, random_source
        )
        self._endpoint_follower = ObjectFollower(
            platform,
            dialect.endpoints_prefix,
            self._take_endpoint,
            random_source,
            batch_seconds=leave_seconds * MIN_PAUSE_SHARE,
        )

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change."""
        self._listeners.append(listener)

    def followers(self) -> tuple[ObjectFollower, ObjectFollower]:
        """Return what follows the platform, to be run by the daemon."""
        return self._config_follower, self._endpoint_follower

    @property
    def endpoints(self) -> ObjectFollower:
        """Return what follows the endpoints' entries."""
        return self._endpoint_follower

    def share_watches(self, daemons: int, *, at_once: bool) -> None:
        """Pause between watches of the endpoints by the number of daemons that make them.

        Peers pass changes on meanwhile. Who places layers must see each change at once.
        """
        least = self._leave_seconds * MIN_PAUSE_SHARE
        most = least if at_once else self._leave_seconds * MAX_PAUSE_SHARE
        seconds = min(max(least, daemons / ENDPOINT_WATCHES_PER_SECOND), most)
        self._endpoint_follower.batch_seconds = seconds

    @property
    def ready(self) -> bool:
        """Tell whether requests can be routed and their endpoints are known."""
        return self.config is not None and self._endpoint_follower.listed.is_set()

    def in_pool(self, pool: str) -> list[EndpointEntry]:
        """Return the endpoints of a pool."""
        return [self.entry_by_id[endpoint_id] for endpoint_id in self._ids_by_pool[pool]]

    def is_doubtful(self, entry: EndpointEntry) -> bool:
        """Tell whether an endpoint may have left; it is used only where no other can serve."""
        key = self._dialect.endpoints_prefix + entry.id
        return self._endpoint_follower.keeps_back_removal_of(key)

    def adopt(self, value: str, version: int = 0) -> bool:
        """Move to a configuration if it is newer; return whether it was."""
        try:
            config = self._dialect.decode_config(
                StoredObject(self._dialect.config_key, version, value)
            )
        except ObjectsError as error:
            logger.error("configuration not adopted", extra={"fields": {"reason": str(error)}})
            return False
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.config_value = value
        self.routes = RouteTable(config.routes)
        fields = {"version": config.version, "routes": len(config.routes)}
        logger.info("configuration adopted", extra={"fields": fields})
        self._notify()
        return True

    def _take_config(self, key: str, stored: StoredObject | None) -> None:
        if stored is None or key != self._dialect.config_key:
            return
        self.adopt(stored.value, stored.version)

    def _take_endpoint(self, key: str, stored: StoredObject | None) -> None:
        endpoint_id = key.removeprefix(self._dialect.endpoints_prefix)
        known = self.entry_by_id.get(endpoint_id)
        entry = self._decode(stored) if stored is not None else None
        if entry == known:
            return
        if known is not None:
            self._ids_by_pool[known.pool].discard(endpoint_id)
        if entry is None:
            self.entry_by_id.pop(endpoint_id, None)
            self.loads.forget(set(self.entry_by_id))
            logger.info("endpoint gone", extra={"fields": {"endpoint": endpoint_id}})
            self._notify()
            return
        if known is None or known.born != entry.born:
            self.loads.succeed(endpoint_id)
        self.entry_by_id[endpoint_id] = entry
        self._ids_by_pool[entry.pool].add(endpoint_id)
        fields = {
            "endpoint": endpoint_id,
            "address": entry.address,
            "pool": entry.pool,
            "leaving": entry.leaving,
            "layers": str(entry.layers or ""),
        }
        logger.info("endpoint entry", extra={"fields": fields})
        self._notify()

    def _decode(self, stored: StoredObject) -> EndpointEntry | None:
        try:
            return self._dialect.decode_endpoint(stored)
        except ObjectsError as error:
            fields = {"key": stored.key, "reason": str(error)}
            logger.warning("endpoint entry not readable", extra={"fields": fields})
            return None

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
