"""Membership of one data centre by gossip, with heartbeats, suspicion and anti-entropy."""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ragwortpaddled.coordination._peer_links import PeerLinks
from ragwortpaddled.errors import TransportError
from ragwortpaddled.protocol import (
    STATE_KEY,
    Delta,
    Deltas,
    Digest,
    DigestEntry,
    DigestReply,
    MemberState,
    Origin,
    encode_value,
)
from ragwortpaddled.state import GossipTable

EXCHANGE_TIMEOUT_SECONDS = 1.0
REMOVE_AFTER_SECONDS = 60.0
UNKNOWN_SEED_PROBABILITY = 0.2
LEAVE_FANOUT = 3
IMMEDIATE_GOSSIP_FANOUT = 3

logger = logging.getLogger(__name__)


class Health(StrEnum):
    """The health of a member as this daemon sees it.

    A member known only from digests is unproven until its heartbeat advances, because a digest
    can still list a daemon that has stopped.
    """

    UNPROVEN = "unproven"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(slots=True)
class Member:
    """Another daemon of the data centre; times are on the monotonic clock."""

    origin: Origin
    health: Health
    last_heartbeat_at: float
    leaving: bool = False


class Membership:
    """The members of the own data centre, and the entries that they have published."""

    def __init__(
        self,
        table: GossipTable,
        links: PeerLinks,
        *,
        interval_seconds: float,
        suspect_after_seconds: float,
        dead_after_seconds: float,
        random_source: random.Random,
    ) -> None:
        self.table = table
        self.links = links
        self.member_by_name: dict[str, Member] = {}
        self.remote_origin_by_name: dict[str, Origin] = {}
        self.changed = asyncio.Event()
        self._seed_addresses: set[str] = set()
        self._interval_seconds = interval_seconds
        self._suspect_after_seconds = suspect_after_seconds
        self._dead_after_seconds = dead_after_seconds
        self._random_source = random_source
        self._listeners: list[Callable[[], None]] = []
        self._addresses_in_exchange: set[str] = set()
        self._exchange_tasks: set[asyncio.Task[None]] = set()
        self._last_tick_at = time.monotonic()

    @property
    def own_origin(self) -> Origin:
        """Return the origin of this daemon."""
        return self.table.own.origin

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a callback to run after each change of members or entries."""
        self._listeners.append(listener)

    def live_names(self) -> list[str]:
        """Return the names of the daemons that can be given work, including this one."""
        names = [
            name
            for name, member in self.member_by_name.items()
            if member.health in (Health.ALIVE, Health.SUSPECT) and not member.leaving
        ]
        if not self._own_member_state().leaving:
            names.append(self.own_origin.name)
        return sorted(names)

    def names_not_dead(self) -> list[str]:
        """Return the names of the other daemons that may be running, the leaving ones too."""
        unproven_since = time.monotonic() - self._dead_after_seconds
        return [
            name
            for name, member in self.member_by_name.items()
            if member.health in (Health.ALIVE, Health.SUSPECT)
            or (member.health is Health.UNPROVEN and member.last_heartbeat_at > unproven_since)
        ]

    def address_of(self, name: str) -> str | None:
        """Return the peer address of a member, None if it is unknown or dead."""
        member = self.member_by_name.get(name)
        if member is None or member.health is Health.DEAD:
            return None
        return member.origin.peer_address

    def add_seed_address(self, address: str) -> None:
        """Add a peer address at which a daemon may be running."""
        if address and address != self.own_origin.peer_address:
            self._seed_addresses.add(address)

    def set_seed_addresses(self, addresses: set[str]) -> None:
        """Replace the peer addresses at which daemons may be running."""
        self._seed_addresses = {address for address in addresses if address}
        self._seed_addresses.discard(self.own_origin.peer_address)

    async def run(self) -> None:
        """Gossip in rounds until cancelled."""
        while True:
            self._tick()
            for address in self._select_addresses():
                self._start_exchange(address)
            jitter = self._random_source.uniform(0.8, 1.2)
            await asyncio.sleep(self._interval_seconds * jitter)

    async def join(self) -> None:
        """Exchange digests with all seed addresses at once to find the peers of a new daemon."""
        seed_addresses = list(self._seed_addresses)
        await asyncio.gather(*(self._exchange(address) for address in seed_addresses))

    async def leave(self, address: str) -> None:
        """Publish that this daemon is leaving, and gossip it at once to some members."""
        self.table.publish(STATE_KEY, encode_value(MemberState(True, address)))
        alive = [m.origin for m in self.member_by_name.values() if m.health is Health.ALIVE]
        recipients = self._random_source.sample(alive, min(LEAVE_FANOUT, len(alive)))
        await asyncio.gather(*(self._exchange(origin.peer_address) for origin in recipients))

    def gossip_now(self) -> None:
        """Gossip with some members at once, for updates that cannot wait for the next round."""
        alive = [m.origin for m in self.member_by_name.values() if m.health is Health.ALIVE]
        for origin in self._random_source.sample(alive, min(IMMEDIATE_GOSSIP_FANOUT, len(alive))):
            self._start_exchange(origin.peer_address)

    def notify_listeners(self) -> None:
        """Call the listeners after a change."""
        for listener in self._listeners:
            listener()
        self.changed.set()
        self.changed = asyncio.Event()

    async def close(self) -> None:
        """Cancel the exchanges in flight."""
        for task in self._exchange_tasks:
            task.cancel()
        await asyncio.gather(*self._exchange_tasks, return_exceptions=True)

    def handle_digest(self, message: Digest) -> DigestReply:
        """Return the deltas that the sender of a digest lacks, and the own digest."""
        if not self._from_own_data_centre(message.lines):
            return DigestReply([], self.table.digest([self.own_origin.name]))
        self._merge_heartbeats(message.lines)
        names = self._names_to_gossip()
        return DigestReply(self.table.deltas_for(message.lines, names), self.table.digest(names))

    def merge_deltas(self, deltas: list[Delta]) -> None:
        """Merge deltas, and call the listeners if they changed anything."""
        if self.table.merge(deltas):
            self._update_leaving()
            self.notify_listeners()

    def _own_member_state(self) -> MemberState:
        return self._member_state_of(self.own_origin.name)

    def _member_state_of(self, name: str) -> MemberState:
        state = self.table.state_by_name.get(name)
        value = state.value(STATE_KEY) if state else b""
        if not value:
            return MemberState(False, "")
        return msgspec.msgpack.decode(value, type=MemberState)

    def _tick(self) -> None:
        now = time.monotonic()
        process_was_paused = now - self._last_tick_at > self._suspect_after_seconds
        self._last_tick_at = now
        self.table.increment_heartbeat()
        if process_was_paused:
            # This process was paused and read no heartbeats, so their age shows no failure.
            for member in self.member_by_name.values():
                member.last_heartbeat_at = now
        self._update_health(now)
        self.links.close_idle()

    def _update_health(self, now: float) -> None:
        for name, member in list(self.member_by_name.items()):
            heartbeat_age = now - member.last_heartbeat_at
            if member.health is Health.ALIVE and heartbeat_age > self._suspect_after_seconds:
                self._set_health(member, Health.SUSPECT)
            if member.health is Health.SUSPECT and heartbeat_age > self._dead_after_seconds:
                self._set_health(member, Health.DEAD)
            if heartbeat_age > REMOVE_AFTER_SECONDS:
                del self.member_by_name[name]
                self.table.remove_origin(name)

    def _set_health(self, member: Member, health: Health) -> None:
        previous_health, member.health = member.health, health
        if health in (Health.ALIVE, Health.DEAD) and previous_health is not health:
            logger.info(
                "health of daemon %s is %s, was %s", member.origin.name, health, previous_health
            )
        self.notify_listeners()

    def _names_to_gossip(self) -> list[str]:
        names = [
            name for name, member in self.member_by_name.items() if member.health is not Health.DEAD
        ]
        return [self.own_origin.name, *names]

    def _select_addresses(self) -> list[str]:
        member_addresses = {
            member.origin.peer_address
            for member in self.member_by_name.values()
            if member.health in (Health.ALIVE, Health.SUSPECT)
        }
        remote_addresses = {origin.peer_address for origin in self.remote_origin_by_name.values()}
        unknown_seeds = self._seed_addresses - member_addresses - remote_addresses
        addresses = []
        if member_addresses:
            addresses.append(self._random_source.choice(sorted(member_addresses)))
        if unknown_seeds and (
            not member_addresses or self._random_source.random() < UNKNOWN_SEED_PROBABILITY
        ):
            addresses.append(self._random_source.choice(sorted(unknown_seeds)))
        return addresses

    def _start_exchange(self, address: str) -> None:
        if address in self._addresses_in_exchange:
            return
        task = asyncio.create_task(self._exchange(address))
        self._exchange_tasks.add(task)
        task.add_done_callback(self._exchange_tasks.discard)

    async def _exchange(self, address: str) -> None:
        self._addresses_in_exchange.add(address)
        try:
            message = Digest(self.table.digest(self._names_to_gossip()))
            reply = await self.links.request(address, message, EXCHANGE_TIMEOUT_SECONDS)
            if not isinstance(reply, DigestReply):
                return
            if not self._from_own_data_centre(reply.lines):
                self._record_remote_origin(reply.lines)
                return
            self._merge_heartbeats(reply.lines)
            self.merge_deltas(reply.deltas)
            missing_deltas = self.table.deltas_for(reply.lines, self._names_to_gossip())
            if missing_deltas:
                await self.links.request(address, Deltas(missing_deltas), EXCHANGE_TIMEOUT_SECONDS)
        except TransportError as error:
            if logger.isEnabledFor(logging.DEBUG):
                logger.debug("gossip with %s failed: %s", address, error)
        finally:
            self._addresses_in_exchange.discard(address)

    def _from_own_data_centre(self, lines: list[DigestEntry]) -> bool:
        return bool(lines) and lines[0].origin.data_centre == self.own_origin.data_centre

    def _record_remote_origin(self, lines: list[DigestEntry]) -> None:
        for line in lines[:1]:
            self.remote_origin_by_name[line.origin.name] = line.origin

    def _merge_heartbeats(self, lines: list[DigestEntry]) -> None:
        now = time.monotonic()
        for line in lines:
            origin = line.origin
            if origin.name == self.own_origin.name:
                self.table.update_heartbeat(origin, line.heartbeat)
                continue
            member = self.member_by_name.get(origin.name)
            if member is not None and origin.incarnation < member.origin.incarnation:
                continue
            heartbeat_advanced = self.table.update_heartbeat(origin, line.heartbeat)
            if member is None:
                self.member_by_name[origin.name] = Member(origin, Health.UNPROVEN, now)
                continue
            if member.origin != origin:
                member.origin = origin
                member.leaving = False
            if heartbeat_advanced:
                member.last_heartbeat_at = now
                if member.health is not Health.ALIVE:
                    self._set_health(member, Health.ALIVE)

    def _update_leaving(self) -> None:
        for name, member in self.member_by_name.items():
            member.leaving = self._member_state_of(name).leaving
