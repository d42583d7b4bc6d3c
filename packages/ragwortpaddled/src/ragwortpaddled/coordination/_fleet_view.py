"""Exchanges summaries between data centres and gives one view of the whole fleet.

For each other data centre one daemon, selected by rendezvous hashing, exchanges summaries with a
daemon of that data centre and publishes the received summary in its own. While views differ, two
daemons can both be selected; they then publish the same data.
"""

import asyncio
import logging
import random
import time
from collections.abc import Coroutine, Iterable, Iterator
from typing import Any

import msgspec

from ragwortpaddled.coordination._membership import Membership
from ragwortpaddled.coordination._releases import ReleaseTracker
from ragwortpaddled.errors import TransportError
from ragwortpaddled.protocol import (
    CRASH_EVIDENCE_PREFIX,
    DEMAND_KEY,
    QUARANTINE_PREFIX,
    RELEASE_KEY,
    STORE_ERA_KEY,
    SUMMARY_PREFIX,
    ActiveRelease,
    CrashEvidence,
    Demand,
    FetchSummary,
    MemberSummary,
    Quarantine,
    StoreEra,
    Summary,
    SummaryReply,
    TeamPoolDemand,
    Vm,
    encode_value,
)
from ragwortpaddled.state import choose_by_rendezvous

EXCHANGE_INTERVAL_SECONDS = 1.0
EXCHANGE_TIMEOUT_SECONDS = 1.0
SUMMARY_STALE_AFTER_SECONDS = 8.0
MAX_JOIN_ATTEMPTS = 3  # for each other data centre

logger = logging.getLogger(__name__)


def total_demand(lines: Iterable[TeamPoolDemand]) -> list[TeamPoolDemand]:
    """Return the sum of demands, with one line for each team and pool."""
    total: dict[tuple[str, str], TeamPoolDemand] = {}
    for line in lines:
        key = (line.team, line.pool)
        total[key] = total[key] + line if key in total else line
    return list(total.values())


class FleetView:
    """The daemons of all data centres as this daemon sees them, and their published data."""

    def __init__(
        self, membership: Membership, release_tracker: ReleaseTracker, random_source: random.Random
    ) -> None:
        self.membership = membership
        self.joined = False  # whether the first VM list is known and its daemons have been asked
        self._release_tracker = release_tracker
        self._random_source = random_source
        self._remote_vms: list[Vm] = []
        self._received_at_by_data_centre: dict[str, float] = {}
        self._join_started = False
        self._tasks: set[asyncio.Task[object]] = set()
        self._remote_summaries: dict[str, Summary] | None = None
        self._address_by_name: dict[str, str] | None = None
        self._demand_of_others: list[TeamPoolDemand] | None = None
        membership.on_change(self._clear_cached_views)

    def _clear_cached_views(self) -> None:
        self._remote_summaries = None
        self._address_by_name = None
        self._demand_of_others = None

    def set_vms(self, vms: list[Vm]) -> None:
        """Set the VM list, from which the addresses of other daemons are taken."""
        entry_vms = [vm for vm in vms if vm.role == "entry"]
        self._remote_vms = [vm for vm in entry_vms if vm.data_centre != self._own_data_centre]
        self.membership.set_seed_addresses(
            {vm.peer_address for vm in entry_vms if vm.data_centre == self._own_data_centre}
        )
        if not self._join_started:
            self._join_started = True
            self._start_in_background(self._join())

    async def run(self) -> None:
        """Exchange summaries with other data centres until cancelled."""
        while True:
            for data_centre in self._assigned_data_centres():
                self._start_exchange(data_centre)
            self._withdraw_stale_summaries()
            await asyncio.sleep(EXCHANGE_INTERVAL_SECONDS * self._random_source.uniform(0.8, 1.2))

    def gossip_now(self) -> None:
        """Start exchanges with some members and with every other data centre at once."""
        self.membership.gossip_now()
        for data_centre in self._other_data_centres():
            self._start_exchange(data_centre)

    async def close(self) -> None:
        """Cancel the exchanges in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def handle_summary(self, message: FetchSummary) -> SummaryReply:
        """Publish another data centre's summary and return that of the own data centre."""
        self._publish_summary(message.data_centre, message.summary)
        return SummaryReply(self._own_data_centre, encode_value(self.own_summary()))

    def own_summary(self) -> Summary:
        """Return the summary of the own data centre."""
        table = self.membership.table
        members = []
        for name in self.membership.live_names():
            state = table.state_by_name[name]
            value = state.value(RELEASE_KEY)
            number = msgspec.msgpack.decode(value, type=ActiveRelease).number if value else 0
            store_era = _decode_store_era(state.value(STORE_ERA_KEY))
            members.append(MemberSummary(name, state.origin.peer_address, number, store_era))
        demand = total_demand(line for _, lines in self.local_demands() for line in lines)
        return Summary(
            members, demand, list(self._local_quarantines()), list(self._local_crash_evidence())
        )

    def local_demands(self) -> Iterator[tuple[str, list[TeamPoolDemand]]]:
        """Yield the published demand of each live daemon of the data centre."""
        for name in self.membership.live_names():
            value = self.membership.table.state_by_name[name].value(DEMAND_KEY)
            if value:
                yield name, msgspec.msgpack.decode(value, type=Demand).lines

    def remote_summaries(self) -> dict[str, Summary]:
        """Return the latest summary of each other data centre."""
        if self._remote_summaries is None:
            self._remote_summaries = self._collect_remote_summaries()
        return self._remote_summaries

    def _collect_remote_summaries(self) -> dict[str, Summary]:
        live = self.membership.live_names()
        encoded_by_data_centre: dict[str, bytes] = {}
        for name in live:
            state = self.membership.table.state_by_name[name]
            for data_centre, value in state.live_entries(SUMMARY_PREFIX):
                selected = choose_by_rendezvous(live, SUMMARY_PREFIX + data_centre) == name
                if selected or data_centre not in encoded_by_data_centre:
                    encoded_by_data_centre[data_centre] = value
        return {
            data_centre: msgspec.msgpack.decode(value, type=Summary)
            for data_centre, value in encoded_by_data_centre.items()
        }

    def address_by_name(self) -> dict[str, str]:
        """Return the peer addresses of all live daemons of all data centres."""
        if self._address_by_name is None:
            self._address_by_name = self._collect_addresses()
        return self._address_by_name

    def _collect_addresses(self) -> dict[str, str]:
        addresses = {}
        for name in self.membership.live_names():
            addresses[name] = self.membership.table.state_by_name[name].origin.peer_address
        for summary in self.remote_summaries().values():
            for member in summary.members:
                addresses[member.name] = member.peer_address
        return addresses

    def demand_at_other_daemons(self) -> list[TeamPoolDemand]:
        """Return the summed demand published by all other live daemons."""
        if self._demand_of_others is None:
            self._demand_of_others = self._collect_demand_of_others()
        return self._demand_of_others

    def _collect_demand_of_others(self) -> list[TeamPoolDemand]:
        own_name = self.membership.own_origin.name
        lines = [line for name, lines in self.local_demands() if name != own_name for line in lines]
        for summary in self.remote_summaries().values():
            lines.extend(summary.demand)
        return total_demand(lines)

    def release_by_daemon(self) -> dict[str, int]:
        """Return the number of the release in force at each live daemon of all data centres."""
        summaries = [self.own_summary(), *self.remote_summaries().values()]
        return {m.name: m.release for summary in summaries for m in summary.members}

    def eras_of_others(self) -> Iterator[StoreEra]:
        """Yield what other daemons know of the store's era, of those not known to be dead."""
        for name in self.membership.names_not_dead():
            store_era = _decode_store_era(
                self.membership.table.state_by_name[name].value(STORE_ERA_KEY)
            )
            if store_era is not None:
                yield store_era
        for summary in self.remote_summaries().values():
            for member in summary.members:
                if member.store_era is not None:
                    yield member.store_era

    def quarantines(self) -> list[Quarantine]:
        """Return the quarantines published in any data centre."""
        collected = list(self._local_quarantines())
        for summary in self.remote_summaries().values():
            collected.extend(summary.quarantines)
        return collected

    def crash_evidence(self) -> list[CrashEvidence]:
        """Return the evidence of crashes published in any data centre."""
        collected = list(self._local_crash_evidence())
        for summary in self.remote_summaries().values():
            collected.extend(summary.blames)
        return collected

    @property
    def _own_data_centre(self) -> str:
        return self.membership.own_origin.data_centre

    def _local_quarantines(self) -> Iterator[Quarantine]:
        for name in self.membership.live_names():
            state = self.membership.table.state_by_name[name]
            for _, value in state.live_entries(QUARANTINE_PREFIX):
                yield msgspec.msgpack.decode(value, type=Quarantine)

    def _local_crash_evidence(self) -> Iterator[CrashEvidence]:
        for name in self.membership.live_names():
            state = self.membership.table.state_by_name[name]
            for _, value in state.live_entries(CRASH_EVIDENCE_PREFIX):
                yield msgspec.msgpack.decode(value, type=CrashEvidence)

    def _peer_addresses_in(self, data_centre: str) -> list[str]:
        addresses = {vm.peer_address for vm in self._remote_vms if vm.data_centre == data_centre}
        for origin in self.membership.remote_origin_by_name.values():
            if origin.data_centre == data_centre:
                addresses.add(origin.peer_address)
        summary = self.remote_summaries().get(data_centre)
        if summary is not None and summary.members:
            # Members of a recent summary are known to be running; listed VMs may have been removed.
            addresses = {member.peer_address for member in summary.members} or addresses
        return sorted(address for address in addresses if address)

    def _other_data_centres(self) -> list[str]:
        data_centres = {vm.data_centre for vm in self._remote_vms}
        origins = self.membership.remote_origin_by_name.values()
        data_centres.update(origin.data_centre for origin in origins)
        return sorted(data_centres)

    def _start_exchange(self, data_centre: str) -> None:
        addresses = self._peer_addresses_in(data_centre)
        if addresses:
            address = self._random_source.choice(addresses)
            self._start_in_background(self._exchange_summaries(data_centre, address))

    def _start_in_background(self, coroutine: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join(self) -> None:
        """Learn what all listed daemons have published, except those that do not answer."""
        data_centres = self._other_data_centres()
        await asyncio.gather(
            self.membership.join(), *(self._join_data_centre(name) for name in data_centres)
        )
        self.joined = True

    async def _join_data_centre(self, data_centre: str) -> None:
        for address in self._peer_addresses_in(data_centre)[:MAX_JOIN_ATTEMPTS]:
            if await self._exchange_summaries(data_centre, address):
                return

    def _assigned_data_centres(self) -> list[str]:
        live = self.membership.live_names()
        own_name = self.membership.own_origin.name
        return [
            data_centre
            for data_centre in self._other_data_centres()
            if choose_by_rendezvous(live, SUMMARY_PREFIX + data_centre) == own_name
        ]

    async def _exchange_summaries(self, data_centre: str, address: str) -> bool:
        message = FetchSummary(self._own_data_centre, encode_value(self.own_summary()))
        try:
            reply = await self.membership.links.request(address, message, EXCHANGE_TIMEOUT_SECONDS)
        except TransportError as error:
            logger.debug("no summary of data centre %s from %s: %s", data_centre, address, error)
            return False
        if not isinstance(reply, SummaryReply):
            return False
        self._publish_summary(reply.data_centre, reply.summary)
        return True

    def _publish_summary(self, data_centre: str, encoded: bytes) -> None:
        summary = msgspec.msgpack.decode(encoded, type=Summary)
        self._received_at_by_data_centre[data_centre] = time.monotonic()
        if self.membership.table.publish(SUMMARY_PREFIX + data_centre, encoded):
            self.membership.notify_listeners()
        newer_members = [m for m in summary.members if m.release > self._release_tracker.number]
        if newer_members:
            self._start_in_background(
                self._release_tracker.fetch_from_peer(newer_members[0].peer_address)
            )

    def _withdraw_stale_summaries(self) -> None:
        stale_before = time.monotonic() - SUMMARY_STALE_AFTER_SECONDS
        for data_centre, received_at in list(self._received_at_by_data_centre.items()):
            if received_at < stale_before:
                del self._received_at_by_data_centre[data_centre]
                self.membership.table.withdraw(SUMMARY_PREFIX + data_centre)
                self.membership.notify_listeners()


def _decode_store_era(value: bytes) -> StoreEra | None:
    return msgspec.msgpack.decode(value, type=StoreEra) if value else None
