"""Passes configurations and loads between relay daemons, so that none depends on the store alone.

Each daemon registers its peer address in the store and swaps news with a few others at a time. The
key that authenticates them lies in the store too, made by the first daemon that finds none.
"""

import asyncio
import logging
import random
import secrets
from collections.abc import Awaitable, Callable

import msgspec

from ragwortpaddled.coordination._object_follower import ObjectFollower
from ragwortpaddled.coordination._peer_links import PeerLinks
from ragwortpaddled.coordination._placer import Placer
from ragwortpaddled.coordination._relay_fleet import RelayFleet
from ragwortpaddled.errors import (
    PeerRefusedError,
    PlatformError,
    TransportError,
    VersionConflictError,
)
from ragwortpaddled.protocol import (
    ABSENT,
    Platform,
    RelayNews,
    RelayNewsReply,
    StoredObject,
    decode_message,
    encode_message,
)
from ragwortpaddled.state import SendBudget
from ragwortpaddled.transport import KeyRing, PeerServer

DAEMONS_PREFIX = "daemons/"
KEY_KEY = "keys/peers"
KEY_BYTES = 32
PURPOSE = "peers"
ROUND_SECONDS = 0.4  # news of a configuration reaches 9 daemons in two or three rounds
FANOUT = 2
EXCHANGE_TIMEOUT_SECONDS = 0.5
RETRY_SECONDS = 1.0
DAEMON_BATCH_SECONDS = 1.0  # a daemon that joins finds the others itself

logger = logging.getLogger(__name__)


class _DaemonEntry(msgspec.Struct, frozen=True):
    address: str


class RelayPeers:
    """The other daemons of the relay."""

    def __init__(
        self,
        fleet: RelayFleet,
        platform: Platform,
        budget: SendBudget,
        placer: Placer,
        name: str,
        listen: str,
        random_source: random.Random,
    ) -> None:
        self._fleet = fleet
        self._platform = platform
        self._budget = budget
        self._placer = placer
        self._name = name
        self._listen = listen
        self._address = listen
        self._random = random_source
        self._keys = KeyRing()
        self._links = PeerLinks(self._keys)
        self._server: PeerServer | None = None
        self._address_by_name: dict[str, str] = {}
        self._failing: set[str] = set()
        self._answering: set[str] = set()
        self._version = ABSENT
        self._follower = ObjectFollower(
            platform,
            DAEMONS_PREFIX,
            self._take_daemon,
            random_source,
            batch_seconds=DAEMON_BATCH_SECONDS,
        )
        self._exchanges: set[asyncio.Task[None]] = set()

    @property
    def in_touch(self) -> set[str]:
        """Return the names of the peers that answered last time."""
        return self._answering

    async def run(self) -> None:
        """Register, then swap news for the life of the daemon."""
        await self._retry(self._load_key)
        self._server = PeerServer(self._listen, self._keys, self._handle)
        self._server.start()
        self._address = self._server.address
        await self._retry(self._register)
        following = asyncio.create_task(self._follower.run())
        try:
            while True:
                await asyncio.sleep(ROUND_SECONDS * self._random.uniform(0.8, 1.2))
                self._fleet.share_watches(
                    self._fleet.loads.daemons, at_once=self._placer.holds_lease
                )
                self._start_round()
        finally:
            following.cancel()

    async def close(self) -> None:
        """Take the own entry out of the store and close the connections."""
        for task in self._exchanges:
            task.cancel()
        if self._server is not None:
            await self._server.close()
        self._links.close()
        if self._version == ABSENT:
            return
        try:
            await self._platform.delete(DAEMONS_PREFIX + self._name, self._version, PURPOSE)
        except PlatformError as error:
            logger.info("entry not removed", extra={"fields": {"reason": str(error)}})

    async def _retry(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
                return
            except PlatformError as error:
                fields = {"step": getattr(step, "__name__", ""), "reason": str(error)}
                logger.warning("peers not joined yet", extra={"fields": fields})
                await asyncio.sleep(RETRY_SECONDS * self._random.uniform(0.5, 1.0))

    async def _load_key(self) -> None:
        stored = await self._platform.get(KEY_KEY, PURPOSE)
        if stored is None:
            text = f"first {secrets.token_hex(KEY_BYTES)}\n"
            try:
                await self._platform.put(KEY_KEY, msgspec.json.encode(text).decode(), 0, PURPOSE)
            except VersionConflictError:
                logger.debug("another daemon made the key")
            stored = await self._platform.get(KEY_KEY, PURPOSE)
        if stored is None:
            raise PlatformError("the peer key is not there")
        try:
            self._keys.load(msgspec.json.decode(stored.value, type=str))
        except (ValueError, msgspec.MsgspecError) as error:
            raise PlatformError(f"the peer key is malformed: {error}") from error

    async def _register(self) -> None:
        key = DAEMONS_PREFIX + self._name
        value = msgspec.json.encode(_DaemonEntry(self._address)).decode()
        try:
            self._version = await self._platform.put(key, value, self._version, PURPOSE)
        except VersionConflictError as error:
            self._version = await self._platform.put(key, value, error.current, PURPOSE)

    def _take_daemon(self, key: str, stored: StoredObject | None) -> None:
        name = key.removeprefix(DAEMONS_PREFIX)
        if name == self._name:
            return
        if stored is None:
            self._address_by_name.pop(name, None)
            self._answering.discard(name)
            self._forget(name)
        else:
            try:
                entry = msgspec.json.decode(stored.value, type=_DaemonEntry)
            except msgspec.MsgspecError as error:
                fields = {"key": key, "reason": str(error)}
                logger.warning("entry of a daemon not readable", extra={"fields": fields})
                return
            self._address_by_name[name] = entry.address
        self._count_daemons()

    def _count_daemons(self) -> None:
        self._budget.daemons = len(self._address_by_name) + 1
        self._fleet.loads.daemons = len(set(self._address_by_name) - self._failing) + 1

    def _start_round(self) -> None:
        names = sorted(self._address_by_name)
        for name in self._random.sample(names, min(FANOUT, len(names))):
            task = asyncio.create_task(self._exchange(name, self._address_by_name[name]))
            self._exchanges.add(task)
            task.add_done_callback(self._exchanges.discard)

    async def _exchange(self, name: str, address: str) -> None:
        try:
            reply = await self._links.request(address, self._news(), EXCHANGE_TIMEOUT_SECONDS)
        except TransportError as error:
            self._answering.discard(name)
            if name not in self._failing:
                self._failing.add(name)
                self._count_daemons()
                self._forget(name)
                fields = {"peer": name, "reason": str(error)}
                logger.warning("peer lost", extra={"fields": fields})
            return
        if name in self._failing:
            self._failing.discard(name)
            self._count_daemons()
            logger.info("peer regained", extra={"fields": {"peer": name}})
        if not isinstance(reply, RelayNewsReply):
            return
        self._answering.add(name)
        self._take_news(reply.news)
        if reply.config:
            self._fleet.adopt(reply.config)
        self._fleet.endpoints.take_peer_changes(reply.endpoint_changes)

    def _forget(self, name: str) -> None:
        self._fleet.loads.forget_peer(name)
        self._fleet.links.take_peer(name, {})

    def _take_news(self, news: RelayNews) -> None:
        self._fleet.loads.take_peer(news.name, news.running, news.suspects, news.requests_by_pool)
        self._fleet.links.take_peer(
            news.name, {frozenset(link): bits for link, bits in news.link_bits}
        )
        if news.places_layers:
            self._placer.note_holder()

    def _news(self) -> RelayNews:
        config = self._fleet.config
        return RelayNews(
            self._name,
            config.version if config else 0,
            self._fleet.loads.own_running(),
            self._placer.holds_lease,
            self._fleet.loads.own_suspects(),
            [(sorted(link), bits) for link, bits in self._fleet.links.own_bits().items()],
            self._fleet.endpoints.wants_changes_above,
            dict(self._fleet.loads.own_requests_by_pool),
        )

    async def _handle(self, body: bytes) -> bytes:
        news = decode_message(body)
        if not isinstance(news, RelayNews):
            raise PeerRefusedError(f"not news: {type(news).__name__}")
        self._take_news(news)
        own = self._news()
        config = self._fleet.config_value if own.config_version > news.config_version else ""
        changes = self._fleet.endpoints.recent_changes(news.endpoints_after)
        return encode_message(RelayNewsReply(own, config, changes))
