"""Quarantines poison requests, whose content has crashed endpoints.

Gossip carries evidence and quarantines, so that all daemons refuse the content within seconds.
"""

import asyncio
import hashlib
import logging
import time
from collections import Counter

import msgspec

from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.coordination._releases import ReleaseTracker
from ragwortpaddled.errors import ConnectionBrokenError, EndpointError, EndpointRefusedError
from ragwortpaddled.protocol import (
    CRASH_EVIDENCE_PREFIX,
    QUARANTINE_PREFIX,
    CrashEvidence,
    EngineClient,
    Executed,
    Quarantine,
    Refusal,
    encode_value,
)
from ragwortpaddled.state import EVIDENCE_DELAY_SECONDS, Crash, EndpointTable, find_poison_contents

QUARANTINE_TTL_SECONDS = 600.0
EVIDENCE_TTL_SECONDS = 600.0
MAX_CRASH_CHECKS = 4
CRASH_CHECK_INTERVAL_SECONDS = 0.1
EXPIRY_INTERVAL_SECONDS = 1.0

logger = logging.getLogger(__name__)


def content_digest(route: str, prompt: str) -> str:
    """Return the digest that identifies the content of a request in evidence and quarantines."""
    return hashlib.sha256(f"{route}\0{prompt}".encode()).hexdigest()[:32]


class QuarantineTracker:
    """Tracks the evidence of endpoint crashes and the quarantines that result from it."""

    def __init__(
        self,
        fleet_view: FleetView,
        release_tracker: ReleaseTracker,
        endpoints: EndpointTable,
        engines: EngineClient,
    ) -> None:
        self._fleet_view = fleet_view
        self._release_tracker = release_tracker
        self._endpoints = endpoints
        self._engines = engines
        self._quarantine_by_content: dict[str, Quarantine] = {}
        self._broken_connections_by_content: Counter[str] = Counter()
        self._contents_with_evidence: set[str] = set()
        self._crash_check_by_content: dict[str, asyncio.Task[None]] = {}
        fleet_view.membership.on_change(self._update_quarantines)

    def active(self) -> list[Quarantine]:
        """Return the quarantines that are neither expired nor lifted."""
        return [q for q in self._quarantine_by_content.values() if self._is_active(q)]

    def refuse_if_quarantined(self, content: str, executed: Executed = Executed.NO) -> None:
        """Refuse a request if its content is quarantined.

        :raises Refusal: the content is quarantined
        """
        quarantine = self._quarantine_by_content.get(content)
        if quarantine is None or not self._is_active(quarantine):
            return
        raise Refusal(
            422,
            "quarantined",
            f"request content {content} is quarantined because it crashed "
            f"{len(quarantine.evidence)} endpoints; "
            "it is refused until an operator lifts the quarantine or it expires",
            executed=executed,
        )

    def is_suspect(self, content: str) -> bool:
        """Return whether a content may have crashed an endpoint, by local or published evidence."""
        return (
            self._broken_connections_by_content[content] > 0
            or content in self._contents_with_evidence
        )

    async def record_failure(self, content: str, request_id: str, error: EndpointError) -> None:
        """Record a failed step, which becomes evidence if its endpoint is found to have crashed.

        The first failure of a content is checked in the background while the request is retried.
        After a further failure, the request waits for the checks and for the evidence to settle,
        because it could crash more endpoints before it is quarantined.
        """
        if not isinstance(error, ConnectionBrokenError):
            return
        self._broken_connections_by_content[content] += 1
        previous_task = self._crash_check_by_content.get(content)
        task = asyncio.create_task(
            self._check_for_crash(content, request_id, error.endpoint, time.time())
        )
        self._crash_check_by_content[content] = task
        task.add_done_callback(lambda _: self._remove_crash_check(content, task))
        if self._broken_connections_by_content[content] > 1:
            await asyncio.wait([item for item in (previous_task, task) if item is not None])
            await asyncio.sleep(EVIDENCE_DELAY_SECONDS)
            self._update_quarantines()

    def clear_suspicion(self, content: str, request_id: str) -> None:
        """Withdraw evidence of a request that succeeded on retry or whose endpoint is up."""
        if not self.is_suspect(content):
            return
        del self._broken_connections_by_content[content]
        table = self._fleet_view.membership.table
        prefix = f"{CRASH_EVIDENCE_PREFIX}{content}/"
        withdrawn_keys = [
            key
            for key, value in table.own.live_entries(prefix)
            if msgspec.msgpack.decode(value, type=CrashEvidence).request == request_id
        ]
        for key in withdrawn_keys:
            table.withdraw(prefix + key)
        if withdrawn_keys:
            self._fleet_view.gossip_now()

    def _remove_crash_check(self, content: str, task: "asyncio.Task[None]") -> None:
        if self._crash_check_by_content.get(content) is task:
            del self._crash_check_by_content[content]

    async def run(self) -> None:
        """Remove expired evidence and quarantines periodically until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            table = self._fleet_view.membership.table
            now = time.time()
            for key, value in list(table.own.live_entries(CRASH_EVIDENCE_PREFIX)):
                if (
                    msgspec.msgpack.decode(value, type=CrashEvidence).at
                    < now - EVIDENCE_TTL_SECONDS
                ):
                    table.withdraw(CRASH_EVIDENCE_PREFIX + key)
            for key, value in list(table.own.live_entries(QUARANTINE_PREFIX)):
                if msgspec.msgpack.decode(value, type=Quarantine).until < now:
                    table.withdraw(QUARANTINE_PREFIX + key)
            self._update_quarantines()

    async def _check_for_crash(
        self, content: str, request_id: str, endpoint_name: str, failed_at: float
    ) -> None:
        """Publish evidence if the endpoint is down: a broken connection alone proves no crash."""
        endpoint = self._endpoints.get(endpoint_name)
        for _ in range(MAX_CRASH_CHECKS):
            if endpoint is None:
                break
            try:
                await self._engines.get_status(endpoint_name, endpoint.vm.address)
                self.clear_suspicion(content, request_id)
                return
            except EndpointRefusedError:
                break
            except EndpointError:
                await asyncio.sleep(CRASH_CHECK_INTERVAL_SECONDS)
        if not self.is_suspect(content):
            return
        crash_evidence = CrashEvidence(content, request_id, endpoint_name, failed_at)
        key = f"{CRASH_EVIDENCE_PREFIX}{content}/{endpoint_name}/{failed_at:.3f}"
        self._fleet_view.membership.table.publish(key, encode_value(crash_evidence))
        self._fleet_view.gossip_now()
        logger.warning("endpoint %s crashed running request content %s", endpoint_name, content)

    def _update_quarantines(self) -> None:
        now = time.time()
        evidence = self._fleet_view.crash_evidence()
        for content, crashes in find_poison_contents(evidence, now):
            if content not in self._quarantine_by_content:
                self._start_quarantine(content, crashes)
        all_quarantines = [*self._fleet_view.quarantines(), *self._quarantine_by_content.values()]
        self._contents_with_evidence = {crash_evidence.content for crash_evidence in evidence}
        self._quarantine_by_content = {q.content: q for q in all_quarantines if q.until > now}

    def _start_quarantine(self, content: str, crashes: list[Crash]) -> None:
        now = time.time()
        evidence = [f"{crash.endpoint} crashed at {crash.at:.3f}" for crash in crashes]
        quarantine = Quarantine(content, now, now + QUARANTINE_TTL_SECONDS, evidence)
        self._quarantine_by_content[content] = quarantine
        key = QUARANTINE_PREFIX + content
        self._fleet_view.membership.table.publish(key, encode_value(quarantine))
        self._fleet_view.gossip_now()
        logger.warning("request content %s quarantined: %s", content, "; ".join(evidence))

    def _is_active(self, quarantine: Quarantine) -> bool:
        release = self._release_tracker.current
        if release is not None and quarantine.content in release.objects.lift_by_name:
            return False
        return quarantine.until > time.time()
