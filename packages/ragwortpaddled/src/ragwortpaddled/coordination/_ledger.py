"""Commits operation records through each shard's preferred writer, or directly.

Rendezvous hashing names one preferred writer for each shard, so that the changes of all daemons
share its writes. A daemon writes the shard itself if the preferred writer returns no result;
conditional writes keep the records consistent.

Besides the store, two daemons keep each recent record: that of the caller, and the writer or, where
they are the same, another one. So a record outlasts a restore of the store and the end of a daemon.
"""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from functools import partial

from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.coordination._ledger_recovery import LedgerRecovery
from ragwortpaddled.coordination._shard_writer import (
    LedgerUnavailableError,
    PendingChange,
    ShardWriter,
)
from ragwortpaddled.errors import TransportError
from ragwortpaddled.protocol import (
    Change,
    ChangeResult,
    ChangesReply,
    ChangeStatus,
    CommitChanges,
    Completion,
    Intent,
    KeepRecord,
    LostRecord,
    OperationRecord,
    PlatformClient,
)
from ragwortpaddled.state import (
    choose_by_rendezvous,
    rank_by_rendezvous,
    record_after,
    shard_for_key,
)

PREFERRED_WRITER_TIMEOUT_SECONDS = 1.5
PEER_BACKOFF_SECONDS = 3.0
COPY_TIMEOUT_SECONDS = 1.0
MAX_COPY_ATTEMPTS = 2
COMMIT_RETRY_MIN_SECONDS = 0.2
COMMIT_RETRY_MAX_SECONDS = 5.0

logger = logging.getLogger(__name__)


class RecordsMissingError(LedgerUnavailableError):
    """Records of a restored store may be missing; the intent was not written."""


class Ledger:
    """Commits intents and completions to the operation records."""

    def __init__(self, fleet_view: FleetView, platform: PlatformClient) -> None:
        self._fleet_view = fleet_view
        self._platform = platform
        self._writer_by_shard: dict[int, ShardWriter] = {}
        self._channel_by_shard: dict[int, _PreferredWriterChannel] = {}
        self._backoff_until_by_address: dict[str, float] = {}
        self._completion_tasks: set[asyncio.Task[None]] = set()
        self._recovery = LedgerRecovery(fleet_view, platform)

    async def run(self) -> None:
        """Write records again that a restored store has lost, until cancelled."""
        await self._recovery.run(self._finish_writes, self._write_again)

    async def record_intent(self, intent: Intent) -> ChangeResult:
        """Record the intent to run an attempt and return the result of this change.

        After a restore of the store no intent is granted until the lost records are back.

        :raises RecordsMissingError: the lost records are not back yet
        :raises LedgerUnavailableError: the intent is not known to be committed; do not run it
        """
        change_result = await self._commit(intent)
        if change_result.verdict is ChangeStatus.WITHHELD:
            raise RecordsMissingError("the store was restored, records may still be missing")
        if change_result.verdict is ChangeStatus.GRANTED and self._recovery.complete_era() is None:
            raise LedgerUnavailableError("the store was restored, records may still be missing")
        return change_result

    async def _finish_writes(self, era: int) -> None:
        writers = list(self._writer_by_shard.values())
        await asyncio.gather(*(writer.finish_write(era) for writer in writers))

    async def _write_again(self, era: int, records: list[OperationRecord]) -> None:
        writers = list(self._writer_by_shard.values())
        await asyncio.gather(
            *(_retry_until_committed(partial(writer.recover, era)) for writer in writers),
            *(_retry_until_committed(partial(self._commit, LostRecord(r))) for r in records),
        )

    def record_completion(self, completion: Completion) -> None:
        """Record the completion of an attempt in the background, retrying until it is committed."""
        task = asyncio.create_task(_retry_until_committed(partial(self._commit, completion)))
        self._completion_tasks.add(task)
        task.add_done_callback(self._completion_tasks.discard)

    async def commit_for_peer(self, commit_request: CommitChanges) -> ChangesReply:
        """Commit changes that a peer forwarded."""
        writer = self._writer_of(commit_request.shard)
        writer.require_era(commit_request.era)
        results = await asyncio.gather(
            *(writer.submit(change) for change in commit_request.changes), return_exceptions=True
        )
        return ChangesReply([r if isinstance(r, ChangeResult) else None for r in results])

    def keep_for_peer(self, record: OperationRecord) -> None:
        """Keep a record that a peer has committed, to write it again after a restore."""
        self._recovery.keep(record)

    async def flush(self) -> None:
        """Wait until every completion is recorded."""
        while self._completion_tasks:
            await asyncio.wait(set(self._completion_tasks))

    @property
    def unrecorded_completions(self) -> int:
        """Return the number of completions that are not yet recorded."""
        return len(self._completion_tasks)

    async def close(self) -> None:
        """Cancel unrecorded completions, and close writers and channels."""
        for task in self._completion_tasks:
            task.cancel()
        for writer in self._writer_by_shard.values():
            await writer.close()
        for channel in self._channel_by_shard.values():
            await channel.close()

    async def _commit(self, change: Change) -> ChangeResult:
        """Commit a change in one era of the store and keep its record.

        :raises LedgerUnavailableError: the change is not known to be committed in this era
        """
        era = self._recovery.era
        change_result = await self._commit_to_shard(change)
        if self._recovery.era != era:
            raise LedgerUnavailableError("the store was restored during the commit")
        if change_result.verdict is ChangeStatus.GRANTED:
            self._recovery.keep(record_after(change))
        return change_result

    async def _commit_to_shard(self, change: Change) -> ChangeResult:
        shard = shard_for_key(change.key)
        address_by_name = self._fleet_view.address_by_name()
        own_name = self._fleet_view.membership.own_origin.name
        preferred_writer = choose_by_rendezvous(address_by_name, f"operations/{shard}")
        if (
            preferred_writer is not None
            and preferred_writer != own_name
            and self._backoff_elapsed(address_by_name[preferred_writer])
        ):
            change_result = await self._channel_of(shard).commit(
                change, address_by_name[preferred_writer]
            )
            if change_result is not None:
                return change_result
            self._start_backoff(address_by_name[preferred_writer])
        change_result = await self._writer_of(shard).submit(change)
        if change_result.verdict is ChangeStatus.GRANTED and not isinstance(change, LostRecord):
            await self._copy_to_peer(record_after(change))
        return change_result

    async def _copy_to_peer(self, record: OperationRecord) -> None:
        """Let another daemon keep a record that only this one knows besides the store."""
        address_by_name = self._fleet_view.address_by_name()
        own_name = self._fleet_view.membership.own_origin.name
        others = [
            name
            for name, address in address_by_name.items()
            if name != own_name and self._backoff_elapsed(address)
        ]
        for name in rank_by_rendezvous(others, f"operations/{record.key}")[:MAX_COPY_ATTEMPTS]:
            address = address_by_name[name]
            try:
                await self._fleet_view.membership.links.request(
                    address, KeepRecord(record), COPY_TIMEOUT_SECONDS
                )
                return
            except TransportError as error:
                logger.warning("operation record not copied to %s: %s", name, error)
                self._start_backoff(address)

    def _start_backoff(self, address: str) -> None:
        self._backoff_until_by_address[address] = time.monotonic() + PEER_BACKOFF_SECONDS

    def _backoff_elapsed(self, address: str) -> bool:
        return time.monotonic() >= self._backoff_until_by_address.get(address, 0.0)

    def _writer_of(self, shard: int) -> ShardWriter:
        if shard not in self._writer_by_shard:
            self._writer_by_shard[shard] = ShardWriter(
                shard, self._platform, lambda: self._recovery.complete_era() is not None
            )
        return self._writer_by_shard[shard]

    def _channel_of(self, shard: int) -> "_PreferredWriterChannel":
        if shard not in self._channel_by_shard:
            self._channel_by_shard[shard] = _PreferredWriterChannel(
                shard, self._fleet_view, self._recovery
            )
        return self._channel_by_shard[shard]


class _PreferredWriterChannel:
    """Sends one shard's changes to its preferred writer in batches."""

    MAX_EXCHANGES_IN_FLIGHT = 4

    def __init__(self, shard: int, fleet_view: FleetView, recovery: LedgerRecovery) -> None:
        self._shard = shard
        self._fleet_view = fleet_view
        self._recovery = recovery
        self._pending_changes: list[PendingChange] = []
        self._exchange_tasks: set[asyncio.Task[None]] = set()
        self._writer_address = ""

    async def commit(self, change: Change, address: str) -> ChangeResult | None:
        """Return the preferred writer's result, or None if none was received."""
        pending = PendingChange(change)
        self._pending_changes.append(pending)
        self._writer_address = address
        self._send_next_batch()
        try:
            return await pending.result_future
        except (TransportError, LedgerUnavailableError):
            return None

    async def close(self) -> None:
        """Cancel the exchanges in flight."""
        for task in self._exchange_tasks:
            task.cancel()
        await asyncio.gather(*self._exchange_tasks, return_exceptions=True)

    def _send_next_batch(self) -> None:
        if not self._pending_changes or len(self._exchange_tasks) >= self.MAX_EXCHANGES_IN_FLIGHT:
            return
        batch, self._pending_changes = self._pending_changes, []
        task = asyncio.create_task(self._exchange(batch, self._writer_address))
        self._exchange_tasks.add(task)
        task.add_done_callback(self._on_exchange_ended)

    def _on_exchange_ended(self, task: asyncio.Task[None]) -> None:
        self._exchange_tasks.discard(task)
        self._send_next_batch()

    async def _exchange(self, batch: list[PendingChange], address: str) -> None:
        changes = [item.change for item in batch]
        commit_request = CommitChanges(self._shard, changes, self._recovery.era or 0)
        links = self._fleet_view.membership.links
        try:
            reply = await links.request(address, commit_request, PREFERRED_WRITER_TIMEOUT_SECONDS)
            if not isinstance(reply, ChangesReply) or len(reply.judgements) != len(batch):
                raise TransportError(f"{address}: the reply does not match commit_changes")
        except TransportError as error:
            for item in batch:
                if not item.result_future.done():
                    item.result_future.set_exception(error)
            return
        for item, change_result in zip(batch, reply.judgements, strict=True):
            if item.result_future.done():
                continue
            if change_result is None:
                item.result_future.set_exception(
                    LedgerUnavailableError("the preferred writer could not commit the change")
                )
            else:
                item.result_future.set_result(change_result)


async def _retry_until_committed(commit: Callable[[], Awaitable[object]]) -> None:
    retry_delay_seconds = COMMIT_RETRY_MIN_SECONDS
    while True:
        try:
            await commit()
            return
        except LedgerUnavailableError as error:
            logger.debug("not committed, trying again: %s", error)
            await asyncio.sleep(retry_delay_seconds)
            retry_delay_seconds = min(retry_delay_seconds * 2, COMMIT_RETRY_MAX_SECONDS)
