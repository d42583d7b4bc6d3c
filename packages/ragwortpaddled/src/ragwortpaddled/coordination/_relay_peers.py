"""Gossips configurations, loads and endpoint changes between relay daemons.

With it, a daemon that cannot reach the store still gets changes. Each daemon registers its peer
address in the store and exchanges its state with a few random peers per round. The key that
authenticates peers is stored there too, created by the first daemon that finds none.
"""

import asyncio
import logging
import random
import secrets
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from ipaddress import ip_address

import msgspec

from ragwortpaddled.coordination._crash_tracker import CrashTracker
from ragwortpaddled.coordination._forwarding import Forwarding
from ragwortpaddled.coordination._layer_placer import LayerPlacer
from ragwortpaddled.coordination._object_watcher import ObjectWatcher
from ragwortpaddled.coordination._peer_links import PeerLinks
from ragwortpaddled.coordination._relay_directory import RelayDirectory
from ragwortpaddled.coordination._retry_loans import RetryLoans
from ragwortpaddled.coordination._suspicion_log import SuspicionLog
from ragwortpaddled.errors import (
    ObjectsError,
    PeerRefusedError,
    PlatformError,
    TransportError,
    VersionConflictError,
)
from ragwortpaddled.protocol import (
    ABSENT_VERSION,
    BorrowRetries,
    PlatformClient,
    ProbeEndpoint,
    ProbeEndpointReply,
    RelayNews,
    RelayNewsReply,
    StoredObject,
    decode_json,
    decode_message,
    encode_message,
    era_of,
)
from ragwortpaddled.state import ForwardingPeer, PoolRetryBudget
from ragwortpaddled.transport import PeerServer, parse_address

DAEMONS_PREFIX = "daemons/"
PEER_KEY_OBJECT = "keys/peers"
PEER_KEY_BYTES = 32
PEER_KEY_ID_BYTES = 4
PURPOSE = "peers"
GOSSIP_INTERVAL_SECONDS = 0.4  # a configuration reaches 9 daemons in 2 or 3 rounds
GOSSIP_FANOUT = 2
EXCHANGE_TIMEOUT_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.6  # longer than a connection attempt may take
MAX_PROBING_PEERS = 3  # of different data centres; some may be cut off themselves
MIN_ROUND_INTERVAL_SECONDS = 0.1  # between rounds that news of crashes starts
CRASH_PUSH_SECONDS = 2.0  # records that changed before are only sent on request
JOIN_RETRY_SECONDS = 1.0
REJOIN_SPREAD_SECONDS = 1.0  # daemons notice a restore of the store at the same moment
DAEMON_WATCH_PAUSE_SECONDS = 1.0  # a joining daemon contacts the others itself
# Daemons that start together register meanwhile, and the watch pauses once.
DAEMON_LIST_SETTLE_SECONDS = 2.0

logger = logging.getLogger(__name__)


class _DaemonEntry(msgspec.Struct, frozen=True):
    address: str
    data_centre: str = ""
    forward_address: str = ""  # for requests to pass on to endpoints; empty if it takes none

    def __post_init__(self) -> None:
        host, _ = parse_address(self.address)
        ip_address(host.strip("[]"))


class RelayPeers:
    """Gossip with the other relay daemons."""

    def __init__(
        self,
        relay_directory: RelayDirectory,
        platform: PlatformClient,
        retry_budget: PoolRetryBudget,
        layer_placer: LayerPlacer,
        crash_tracker: CrashTracker,
        suspicion_log: SuspicionLog,
        forwarding: Forwarding,
        name: str,
        data_centre: str,
        listen: str,
        random_source: random.Random,
    ) -> None:
        self._relay_directory = relay_directory
        self._platform = platform
        self._retry_budget = retry_budget
        self._layer_placer = layer_placer
        self._crash_tracker = crash_tracker
        self._suspicion_log = suspicion_log
        self._forwarding = forwarding
        self._name = name
        self._data_centre = data_centre
        self._listen = listen
        self._address = listen
        self._random = random_source
        self._keys = forwarding.keys
        self._key_text = ""
        self._joined_era = 0
        self._rejoin_task: asyncio.Task[None] | None = None
        self._links = PeerLinks(self._keys)
        self._retry_loans = RetryLoans(
            retry_budget, self._links, self._reachable_addresses, name, random_source
        )
        self._server: PeerServer | None = None
        self._address_by_name: dict[str, str] = {}
        self._data_centre_by_name: dict[str, str] = {}
        self._unreachable: set[str] = set()
        self._reachable: set[str] = set()
        self._entry_version = ABSENT_VERSION
        self._object_watcher = ObjectWatcher(
            platform,
            DAEMONS_PREFIX,
            self._on_daemon_change,
            random_source,
            watch_pause_seconds=DAEMON_WATCH_PAUSE_SECONDS,
        )
        self._exchange_tasks: set[asyncio.Task[None]] = set()
        self._list_done_at: float | None = None
        self._last_round_at = 0.0
        self._round_timer: asyncio.TimerHandle | None = None
        crash_tracker.add_change_listener(self._gossip_soon)
        forwarding.reach_monitor.set_peer_probe(self._probe_by_peer)

    @property
    def reachable(self) -> set[str]:
        """Return the names of the peers that responded to the last exchange."""
        return self._reachable

    async def run(self) -> None:
        """Register this daemon, then gossip for the life of the daemon.

        May be called again after a failure; the peer server goes on meanwhile.
        """
        await self._retry(self._load_key)
        if self._server is None:
            self._server = PeerServer(self._listen, self._keys, self._handle_message)
            self._server.start()
            self._address = self._server.address
        await self._retry(self._register)
        self._joined_era = era_of(self._entry_version)
        async with asyncio.TaskGroup() as task_group:
            task_group.create_task(self._object_watcher.run())
            await self._gossip()

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2))
            self._relay_directory.set_watch_pause(
                self._relay_directory.loads.daemon_count,
                immediate=self._layer_placer.holds_lease,
            )
            self._rejoin_after_restore()
            self._update_retry_share()
            self._start_gossip_round()

    async def close(self) -> None:
        """Remove this daemon's entry from the store and close the connections."""
        if self._round_timer is not None:
            self._round_timer.cancel()
        if self._rejoin_task is not None:
            self._rejoin_task.cancel()
        self._retry_loans.close()
        for task in self._exchange_tasks:
            task.cancel()
        if self._server is not None:
            await self._server.close()
        self._links.close()
        if self._entry_version == ABSENT_VERSION:
            return
        try:
            await self._platform.delete(DAEMONS_PREFIX + self._name, self._entry_version, PURPOSE)
        except PlatformError as error:
            logger.info("daemon entry not removed", extra={"fields": {"reason": str(error)}})

    async def _retry(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
                return
            except PlatformError as error:
                fields = {"step": getattr(step, "__name__", ""), "reason": str(error)}
                logger.warning("joining peers failed, retrying", extra={"fields": fields})
                await asyncio.sleep(JOIN_RETRY_SECONDS * self._random.uniform(0.5, 1.0))

    def _rejoin_after_restore(self) -> None:
        """Store the key and the own entry again if the store has been restored without them."""
        era = era_of(self._object_watcher.revision)  # whose objects the watcher has listed
        if era <= self._joined_era:
            return
        self._joined_era = era
        if self._rejoin_task is not None:
            self._rejoin_task.cancel()
        self._rejoin_task = asyncio.create_task(self._rejoin())

    async def _rejoin(self) -> None:
        await asyncio.sleep(REJOIN_SPREAD_SECONDS * self._random.random())
        await self._retry(self._load_key)
        key = DAEMONS_PREFIX + self._name
        stored = self._object_watcher.object_by_key.get(key)
        if (
            stored is not None
            and stored.value == self._entry_value()
            and era_of(stored.version) == self._platform.era
        ):
            self._entry_version = stored.version
            return
        await self._retry(self._register)
        logger.info("registered again, the store had lost the entry")

    async def _load_key(self) -> None:
        """Load the stored key, or store one; keep the own key for peers that use it still."""
        stored = await self._platform.get(PEER_KEY_OBJECT, PURPOSE)
        if stored is None:
            text = self._key_text or _create_key()
            try:
                await self._platform.put(
                    PEER_KEY_OBJECT, msgspec.json.encode(text).decode(), ABSENT_VERSION, PURPOSE
                )
            except VersionConflictError:
                logger.debug("peer key already created by another daemon")
            stored = await self._platform.get(PEER_KEY_OBJECT, PURPOSE)
        if stored is None:
            raise PlatformError(f"peer key {PEER_KEY_OBJECT} is missing")
        try:
            text = decode_json(stored.value, str)
            # The first key signs, and a daemon that has just started knows only the stored one.
            self._keys.load(text if self._key_text in text else f"{text}\n{self._key_text}")
        except (ObjectsError, ValueError) as error:
            raise PlatformError(f"peer key {PEER_KEY_OBJECT} is malformed: {error}") from error
        self._key_text = text

    def _entry_value(self) -> str:
        entry = _DaemonEntry(self._address, self._data_centre, self._forwarding.address())
        return msgspec.json.encode(entry).decode()

    async def _register(self) -> None:
        key = DAEMONS_PREFIX + self._name
        value = self._entry_value()
        try:
            self._entry_version = await self._platform.put(key, value, self._entry_version, PURPOSE)
        except VersionConflictError as error:
            self._entry_version = await self._platform.put(key, value, error.current, PURPOSE)

    def _on_daemon_change(self, key: str, stored: StoredObject | None) -> None:
        name = key.removeprefix(DAEMONS_PREFIX)
        if name == self._name:
            return
        if stored is None:
            self._address_by_name.pop(name, None)
            self._data_centre_by_name.pop(name, None)
            self._reachable.discard(name)
            self._discard_peer_state(name)
            self._forwarding.peers.remove(name)
        else:
            try:
                entry = decode_json(stored.value, _DaemonEntry)
            except ObjectsError as error:
                fields = {"key": key, "reason": str(error)}
                logger.warning("malformed daemon entry ignored", extra={"fields": fields})
                return
            self._address_by_name[name] = entry.address
            self._data_centre_by_name[name] = entry.data_centre
            if entry.forward_address:
                self._forwarding.peers.add(
                    ForwardingPeer(name, entry.forward_address, entry.data_centre)
                )
        self._update_daemon_counts()

    def _update_daemon_counts(self) -> None:
        self._update_retry_share()
        reachable_count = len(set(self._address_by_name) - self._unreachable) + 1
        self._relay_directory.loads.daemon_count = reachable_count
        self._relay_directory.request_limits.daemon_count = reachable_count

    def _update_retry_share(self) -> None:
        """Divide the retry budget by the number of daemons, once the list of them is known."""
        if not self._object_watcher.initial_list_done.is_set():
            return
        if self._list_done_at is None:
            self._list_done_at = time.monotonic()
        settled = time.monotonic() - self._list_done_at >= DAEMON_LIST_SETTLE_SECONDS
        self._retry_budget.set_daemon_count(len(self._address_by_name) + 1, settled=settled)

    def _reachable_addresses(self) -> dict[str, str]:
        return {
            name: address
            for name, address in self._address_by_name.items()
            if name not in self._unreachable
        }

    def _gossip_soon(self) -> None:
        """Start a round at once, or as soon as ``MIN_ROUND_INTERVAL_SECONDS`` allow it."""
        if self._round_timer is not None:
            return
        delay = self._last_round_at + MIN_ROUND_INTERVAL_SECONDS - time.monotonic()
        self._round_timer = asyncio.get_running_loop().call_later(
            max(0.0, delay), self._start_gossip_round
        )

    def _start_gossip_round(self) -> None:
        self._last_round_at = time.monotonic()
        if self._round_timer is not None:
            self._round_timer.cancel()
            self._round_timer = None
        names = sorted(self._address_by_name)
        for name in self._random.sample(names, min(GOSSIP_FANOUT, len(names))):
            task = asyncio.create_task(self._exchange(name, self._address_by_name[name]))
            self._exchange_tasks.add(task)
            task.add_done_callback(self._exchange_tasks.discard)

    async def _exchange(self, name: str, address: str) -> None:
        try:
            recent = time.monotonic() - CRASH_PUSH_SECONDS
            state = self._own_state(with_crashes=self._crash_tracker.records.changed_at > recent)
            reply = await self._links.request(address, state, EXCHANGE_TIMEOUT_SECONDS)
        except TransportError as error:
            self._reachable.discard(name)
            if name not in self._unreachable:
                self._unreachable.add(name)
                self._update_daemon_counts()
                self._discard_peer_state(name)
                fields = {"peer": name, "reason": str(error)}
                logger.warning("peer lost", extra={"fields": fields})
            return
        if name in self._unreachable:
            self._unreachable.discard(name)
            self._update_daemon_counts()
            logger.info("peer reachable again", extra={"fields": {"peer": name}})
        if not isinstance(reply, RelayNewsReply):
            return
        self._reachable.add(name)
        self._merge_peer_state(reply.news)
        if reply.config:
            self._relay_directory.apply_config(reply.config)
        self._relay_directory.endpoint_watcher.merge_peer_changes(reply.endpoint_changes)

    def _discard_peer_state(self, name: str) -> None:
        self._suspicion_log.remove_peer(name)
        self._relay_directory.loads.remove_peer(name)
        self._relay_directory.links.update_peer(name, {})
        self._forwarding.peers.set_available(name, False)

    def _merge_peer_state(self, message: RelayNews) -> None:
        self._suspicion_log.record_peer(message.name, message.suspects)
        self._relay_directory.loads.update_peer(
            message.name, message.running, message.suspects, message.requests_by_pool
        )
        self._relay_directory.links.update_peer(
            message.name, {frozenset(link): bits for link, bits in message.link_bits}
        )
        self._relay_directory.request_limits.merge_peer(message.request_limits)
        self._layer_placer.record_peer_state(
            holds_lease=message.places_layers, fencing_token=message.fencing_token
        )
        self._crash_tracker.merge(message.crashes)
        self._relay_directory.merge_departures(message.departures)
        self._forwarding.peers.set_available(message.name, message.forwards)

    def _own_state(self, *, with_crashes: bool) -> RelayNews:
        crash_records = self._crash_tracker.records
        config = self._relay_directory.config
        return RelayNews(
            self._name,
            config.version if config else 0,
            self._relay_directory.loads.own_running_by_id(),
            self._layer_placer.holds_lease,
            self._relay_directory.loads.own_suspect_ids(),
            [
                (sorted(link), bits)
                for link, bits in self._relay_directory.links.own_bits_by_link().items()
            ],
            self._relay_directory.endpoint_watcher.changes_wanted_after,
            dict(self._relay_directory.loads.own_requests_by_pool),
            crash_records.digest,
            crash_records.reports() if with_crashes else [],
            self._relay_directory.request_limits.reports(),
            self._layer_placer.highest_fencing_token,
            self._relay_directory.departures(),
            self._forwarding.forwarder.available,
        )

    async def _probe_by_peer(self, address: str, unreachable_seconds: float) -> bool | None:
        """Ask peers whether an endpoint accepts connections from any; None if none can tell."""
        message = ProbeEndpoint(address, unreachable_seconds)
        answers = await asyncio.gather(
            *(self._ask_probe(name, message) for name in self._probing_peers())
        )
        known = [answer for answer in answers if answer is not None]
        return any(known) if known else None

    def _probing_peers(self) -> list[str]:
        """Return some peers at random, of as many data centres as possible.

        The links between two data centres may be lost, which all daemons of the one notice.
        """
        names = sorted(self._address_by_name.keys() - self._unreachable)
        self._random.shuffle(names)
        rank_by_name = {}
        count_by_data_centre: Counter[str] = Counter()
        for name in names:
            data_centre = self._data_centre_by_name[name]
            rank_by_name[name] = count_by_data_centre[data_centre]
            count_by_data_centre[data_centre] += 1
        return sorted(names, key=lambda name: rank_by_name[name])[:MAX_PROBING_PEERS]

    async def _ask_probe(self, name: str, message: ProbeEndpoint) -> bool | None:
        try:
            reply = await self._links.request(
                self._address_by_name[name], message, PROBE_TIMEOUT_SECONDS
            )
        except TransportError as error:
            fields = {"peer": name, "address": message.address, "reason": str(error)}
            logger.info("peer did not probe an endpoint", extra={"fields": fields})
            return None
        return reply.accepts if isinstance(reply, ProbeEndpointReply) else None

    async def _handle_message(self, body: bytes) -> bytes:
        message = decode_message(body)
        if isinstance(message, ProbeEndpoint):
            accepts = await self._forwarding.reach_monitor.probe(
                message.address, message.unreachable_seconds
            )
            return encode_message(ProbeEndpointReply(accepts))
        if isinstance(message, BorrowRetries):
            return encode_message(self._retry_loans.lend(message))
        if not isinstance(message, RelayNews):
            raise PeerRefusedError(
                f"unexpected message type {type(message).__name__}, expected RelayNews"
            )
        self._merge_peer_state(message)
        own_state = self._own_state(
            with_crashes=message.crash_digest != self._crash_tracker.records.digest
        )
        config = (
            self._relay_directory.config_value
            if own_state.config_version > message.config_version
            else ""
        )
        changes = self._relay_directory.endpoint_watcher.recent_changes(message.endpoints_after)
        return encode_message(RelayNewsReply(own_state, config, changes))


def _create_key() -> str:
    """Return a new key with a random id, since another daemon may create one as well."""
    return f"{secrets.token_hex(PEER_KEY_ID_BYTES)} {secrets.token_hex(PEER_KEY_BYTES)}\n"
