"""Maintains the list of endpoints and their load reports.

In each data centre a few daemons read the VM list, and one daemon polls each local endpoint;
gossip carries the results to the others. Endpoints of other data centres are polled only for
pools that the local endpoints cannot serve.
"""

import asyncio
import logging
import random
import time

import msgspec

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._chain import covers_all_layers
from ragwortpaddled.coordination._circuit_breakers import record_failure, record_success
from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.coordination._membership import Membership
from ragwortpaddled.errors import EndpointError, PlatformError
from ragwortpaddled.protocol import (
    LOAD_PREFIX,
    VMS_KEY,
    EngineClient,
    LoadReport,
    PlatformClient,
    PublishedLoad,
    Vm,
    VmListing,
    encode_value,
)
from ragwortpaddled.state import Endpoint, EndpointTable, choose_by_rendezvous, rank_by_rendezvous

VM_LIST_READERS_PER_DATA_CENTRE = 2
VM_LIST_INTERVAL_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.5
MIN_LOAD_CHANGE_FRACTION = 0.25
VM_LIST_PURPOSE = "vm-list"

logger = logging.getLogger(__name__)


class EndpointDirectory:
    """Updates the endpoint table from the VM list, own polls and the polls of peers."""

    def __init__(
        self,
        endpoints: EndpointTable,
        fleet_view: FleetView,
        platform: PlatformClient,
        engines: EngineClient,
        random_source: random.Random,
    ) -> None:
        self.endpoints = endpoints
        self.first_list_received = asyncio.Event()
        self._fleet_view = fleet_view
        self._membership: Membership = fleet_view.membership
        self._platform = platform
        self._engines = engines
        self._random = random_source
        self._vms: list[Vm] = []
        self._gossiped_load_by_endpoint: dict[str, bytes] = {}
        self._poll_task_by_endpoint: dict[str, asyncio.Task[None]] = {}
        self._membership.on_change(self._apply_gossip)

    async def run_vm_listing(self) -> None:
        """Read the VM list periodically, if this daemon is one of its readers, until cancelled."""
        while True:
            ranked_daemons = rank_by_rendezvous(self._membership.live_names(), VM_LIST_PURPOSE)
            if self._membership.own_origin.name in ranked_daemons[:VM_LIST_READERS_PER_DATA_CENTRE]:
                await self._read_vm_list()
            await asyncio.sleep(VM_LIST_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2))

    async def run_polling(self) -> None:
        """Poll the endpoints assigned to this daemon, each in its own task, until cancelled."""
        while True:
            assigned_names = {
                endpoint.name for endpoint in self.endpoints if self._should_poll(endpoint)
            }
            for name in assigned_names - set(self._poll_task_by_endpoint):
                self._poll_task_by_endpoint[name] = asyncio.create_task(self._poll(name))
            for name in set(self._poll_task_by_endpoint) - assigned_names:
                self._poll_task_by_endpoint.pop(name).cancel()
                self._membership.table.withdraw(LOAD_PREFIX + name)
            self._confirm_gossiped_reports()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def close(self) -> None:
        """Cancel the polling tasks and wait for them to end."""
        for task in self._poll_task_by_endpoint.values():
            task.cancel()
        await asyncio.gather(*self._poll_task_by_endpoint.values(), return_exceptions=True)

    def update_report(self, endpoint: Endpoint, report: LoadReport) -> None:
        """Apply a load report from a response, a poll or a peer; log the first implausible one."""
        was_implausible = endpoint.report_implausible
        if endpoint.update_report(report, time.monotonic()):
            return
        telemetry.implausible_reports.add(1, {"endpoint": endpoint.name})
        if not was_implausible:
            logger.warning(
                "endpoint %s reported an implausible load; using measured latencies instead",
                endpoint.name,
            )

    async def _read_vm_list(self) -> None:
        try:
            vms = await self._platform.list_vms(VM_LIST_PURPOSE)
        except PlatformError as error:
            logger.debug("reading the VM list failed: %s", error)
            return
        self._membership.table.publish(VMS_KEY, encode_value(VmListing(vms)))
        self._apply_vm_list(vms)

    def _apply_vm_list(self, vms: list[Vm]) -> None:
        self._vms = vms
        self._fleet_view.set_vms(vms)
        self.endpoints.update(vms, time.monotonic())
        self.first_list_received.set()

    def _apply_gossip(self) -> None:
        table = self._membership.table
        live = self._membership.live_names()
        for name in rank_by_rendezvous(live, VM_LIST_PURPOSE):
            value = table.state_by_name[name].value(VMS_KEY)
            if value:
                if name != self._membership.own_origin.name:
                    self._apply_vm_list(msgspec.msgpack.decode(value, type=VmListing).vms)
                break
        for name in live:
            if name == self._membership.own_origin.name:
                continue
            for endpoint_name, value in table.state_by_name[name].live_entries(LOAD_PREFIX):
                self._apply_gossiped_load(endpoint_name, value)

    def _confirm_gossiped_reports(self) -> None:
        """Mark published reports as current: the polling daemon publishes only changes."""
        now = time.monotonic()
        table = self._membership.table
        for name in self._membership.live_names():
            for endpoint_name, _ in table.state_by_name[name].live_entries(LOAD_PREFIX):
                endpoint = self.endpoints.get(endpoint_name)
                if endpoint is not None:
                    endpoint.renew_report(now)

    def _apply_gossiped_load(self, endpoint_name: str, value: bytes) -> None:
        endpoint = self.endpoints.get(endpoint_name)
        if endpoint is None or self._gossiped_load_by_endpoint.get(endpoint_name) == value:
            return
        self._gossiped_load_by_endpoint[endpoint_name] = value
        published = msgspec.msgpack.decode(value, type=PublishedLoad)
        self.update_report(endpoint, msgspec.msgpack.decode(published.report, type=LoadReport))

    def _should_poll(self, endpoint: Endpoint) -> bool:
        own = self._membership.own_origin
        if endpoint.vm.data_centre != own.data_centre and self._is_covered_locally(endpoint):
            return False
        return choose_by_rendezvous(self._membership.live_names(), endpoint.name) == own.name

    def _is_covered_locally(self, endpoint: Endpoint) -> bool:
        now = time.monotonic()
        own_data_centre = self._membership.own_origin.data_centre
        local = [
            other
            for other in self.endpoints.in_pool(endpoint.vm.pool)
            if other.vm.data_centre == own_data_centre and other.usable(now)
        ]
        layers = max((other.report.layers for other in local), default=0)
        return covers_all_layers(local, layers)

    async def _poll(self, name: str) -> None:
        while True:
            endpoint = self.endpoints.get(name)
            if endpoint is None:
                return
            try:
                report = await self._engines.get_status(name, endpoint.vm.address)
                self.update_report(endpoint, report)
                self._publish_report(endpoint, report)
                is_open_and_idle = (
                    endpoint.circuit.state != "closed" and not endpoint.steps_in_flight
                )
                if is_open_and_idle and endpoint.circuit.admits(time.monotonic()):
                    # The poll serves as the half-open probe, because it has no side effects.
                    record_success(endpoint)
            except EndpointError as error:
                self._membership.table.withdraw(LOAD_PREFIX + name)
                self._gossiped_load_by_endpoint.pop(name, None)
                record_failure(endpoint, error.reason)
            delay_seconds = POLL_INTERVAL_SECONDS * self._random.uniform(0.9, 1.1)
            await asyncio.sleep(delay_seconds)

    def _publish_report(self, endpoint: Endpoint, report: LoadReport) -> None:
        key = LOAD_PREFIX + endpoint.name
        current = self._membership.table.own.value(key)
        if current:
            published = msgspec.msgpack.decode(current, type=PublishedLoad)
            last = msgspec.msgpack.decode(published.report, type=LoadReport)
            if not _differs_enough(last, report):
                return
        value = encode_value(PublishedLoad(msgspec.msgpack.encode(report)))
        self._membership.table.publish(key, value)


def _differs_enough(last: LoadReport, report: LoadReport) -> bool:
    """Return whether a report differs enough from the last one to be published."""
    load_fields = ("active", "waiting", "step_ms", "prefill_ms_per_token")
    last_other_fields = msgspec.structs.replace(last, age_ms=0.0, **dict.fromkeys(load_fields, 0.0))
    other_fields = msgspec.structs.replace(report, age_ms=0.0, **dict.fromkeys(load_fields, 0.0))
    if last_other_fields != other_fields:
        return True
    for name in load_fields:
        last_value, value = getattr(last, name), getattr(report, name)
        if not abs(value - last_value) <= MIN_LOAD_CHANGE_FRACTION * max(abs(last_value), 4.0):
            return True
    return False
