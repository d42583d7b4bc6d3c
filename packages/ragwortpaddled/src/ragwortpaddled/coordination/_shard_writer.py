"""Writes one shard of the operation records, batching many changes into each write."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ragwortpaddled import telemetry
from ragwortpaddled.errors import (
    PlatformError,
    PlatformUnavailableError,
    RagwortpaddleError,
    VersionConflictError,
    WriteOutcomeUnknownError,
)
from ragwortpaddled.protocol import (
    Change,
    ChangeResult,
    ChangeStatus,
    Completion,
    Intent,
    OperationRecord,
    PlatformClient,
    StoredObject,
)
from ragwortpaddled.state import (
    MAX_HEAD_BYTES,
    Shard,
    ShardDraft,
    ShardHead,
    head_key,
    new_segment_key,
)

PURPOSE_WRITE = "operation-write"
PURPOSE_READ = "operation-read"
PURPOSE_SEAL = "operation-seal"
TARGET_CHANGES_PER_WRITE = 12
MAX_BATCH_DELAY_SECONDS = 0.12
COMPLETION_BATCH_DELAY_SECONDS = 0.5
MAX_WRITE_ATTEMPTS = 6
MAX_CACHED_SHARD_AGE_SECONDS = 0.5
ARRIVAL_RATE_WINDOW_SECONDS = 1.0


class LedgerUnavailableError(RagwortpaddleError):
    """The operation records cannot be read or written, so no operation may start."""


@dataclass(slots=True, eq=False)
class PendingChange:
    """A change queued for the next write, and the future of its result."""

    change: Change
    result_future: asyncio.Future[ChangeResult] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class ShardWriter:
    """Writes one shard with conditional writes, which are safe with several writers at once.

    Intents are granted only while ``grants_allowed`` returns true.
    """

    def __init__(
        self, shard: int, platform: PlatformClient, grants_allowed: Callable[[], bool]
    ) -> None:
        self._shard_number = shard
        self._platform = platform
        self._grants_allowed = grants_allowed
        self._shard = Shard()
        self._loaded_at = -1.0
        self._loaded_era = 0
        self._required_era = 0
        self._lost_records: list[OperationRecord] = []
        self._write_lock = asyncio.Lock()
        self._pending_changes: list[PendingChange] = []
        self._change_queued = asyncio.Event()
        self._intent_rate = _ArrivalRate()
        self._write_task: asyncio.Task[None] | None = None

    async def submit(self, change: Change) -> ChangeResult:
        """Commit a change and return its result.

        :raises LedgerUnavailableError: the change is not known to be committed
        """
        pending = PendingChange(change)
        self._pending_changes.append(pending)
        if isinstance(change, Intent):
            self._intent_rate.add(time.monotonic())
        self._change_queued.set()
        if self._write_task is None:
            self._write_task = asyncio.create_task(self._run())
        return await pending.result_future

    def require_era(self, era: int) -> None:
        """Base later results on a shard of this era of the store or of a later one."""
        self._required_era = max(self._required_era, era)

    async def finish_write(self, era: int) -> None:
        """Wait for a write in flight; later ones need this era of the store or a later one."""
        self.require_era(era)
        async with self._write_lock:
            return

    async def recover(self, era: int) -> None:
        """Write the known records again that the store has lost when its era began.

        :raises LedgerUnavailableError: they are not known to be written
        """
        self.require_era(era)
        try:
            async with self._write_lock:
                if self._loaded_at >= 0:
                    await self._write([])
        except PlatformError as error:
            raise LedgerUnavailableError(str(error)) from error

    async def close(self) -> None:
        """Cancel the write task."""
        if self._write_task is not None:
            self._write_task.cancel()
            await asyncio.gather(self._write_task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._change_queued.wait()
            self._change_queued.clear()
            await self._wait_for_batch()
            batch, self._pending_changes = self._pending_changes, []
            if batch:
                await self._commit(batch)

    async def _wait_for_batch(self) -> None:
        """Wait for more changes to batch: longer under load, longest for completions alone."""
        wait_started_at = time.monotonic()
        while True:
            waited_seconds = time.monotonic() - wait_started_at
            completions_alone = all(
                isinstance(item.change, Completion) for item in self._pending_changes
            )
            delay_seconds = COMPLETION_BATCH_DELAY_SECONDS
            if not completions_alone:
                delay_seconds = self._intent_rate.batch_delay_seconds(time.monotonic())
            if (
                waited_seconds >= delay_seconds
                or len(self._pending_changes) >= 10 * TARGET_CHANGES_PER_WRITE
            ):
                return
            self._change_queued.clear()
            try:
                async with asyncio.timeout(delay_seconds - waited_seconds):
                    await self._change_queued.wait()
            except TimeoutError:
                continue

    async def _commit(self, batch: list[PendingChange]) -> None:
        try:
            async with self._write_lock:
                change_results = await self._write([item.change for item in batch])
        except PlatformError as error:
            unavailable_error = LedgerUnavailableError(str(error))
            for item in batch:
                if not item.result_future.done():
                    item.result_future.set_exception(unavailable_error)
            return
        for item, change_result in zip(batch, change_results, strict=True):
            if not item.result_future.done():
                item.result_future.set_result(change_result)

    async def _write(self, changes: list[Change]) -> list[ChangeResult]:
        """Apply changes to the shard and write it, retrying after a conflict or a lost write.

        :raises PlatformError: no write is known to have taken effect
        """
        await self._load_if_needed()
        for _ in range(MAX_WRITE_ATTEMPTS):
            era = self._platform.era
            draft = self._shard.draft(time.time())
            draft.recover(self._lost_records)
            change_results = self._apply(draft, changes)
            if not draft.changed:
                self._lost_records = []
                if await self._valid_without_write(change_results):
                    return change_results
                continue
            head = await self._prepare_head(draft)
            if await self._put(head):
                if self._platform.era != era:
                    raise PlatformUnavailableError(
                        f"shard {self._shard_number}: the store was restored during the write"
                    )
                return change_results
        raise PlatformUnavailableError(
            f"shard {self._shard_number}: not committed after {MAX_WRITE_ATTEMPTS} attempts"
        )

    def _apply(self, draft: ShardDraft, changes: list[Change]) -> list[ChangeResult]:
        grants_allowed = self._grants_allowed()
        return [
            (
                draft.answer_without_grant(change)
                if isinstance(change, Intent) and not grants_allowed
                else draft.apply(change)
            )
            for change in changes
        ]

    async def _valid_without_write(self, change_results: list[ChangeResult]) -> bool:
        """Return whether results reached without a write can be returned to the caller.

        Final verdicts can. Others must come from a recently loaded shard; an older one is reloaded.
        """
        final_verdicts = (
            ChangeStatus.FINISHED,
            ChangeStatus.KEY_REUSED,
            ChangeStatus.STALE,
            ChangeStatus.WITHHELD,
        )
        if all(change_result.verdict in final_verdicts for change_result in change_results):
            return True
        if time.monotonic() - self._loaded_at < MAX_CACHED_SHARD_AGE_SECONDS:
            return True
        await self._load()
        return False

    async def _prepare_head(self, draft: ShardDraft) -> ShardHead:
        """Return the head to write, with its records moved to a new segment if it is too large.

        :raises PlatformError: the shard is full, or the segment was not written
        """
        head = draft.head()
        if len(msgspec.json.encode(head)) <= MAX_HEAD_BYTES:
            return head
        if draft.full:
            raise PlatformUnavailableError(
                f"shard {self._shard_number} has reached its maximum of segments"
            )
        key = new_segment_key(self._shard_number)
        records = draft.seal(key)
        await self._platform.put(key, msgspec.json.encode(records).decode(), 0, PURPOSE_SEAL)
        self._shard.sealed_by_segment[key] = {record.key: record for record in records}
        return draft.head()

    async def _put(self, head: ShardHead) -> bool:
        """Write the head and return whether it took effect; read it back after a lost reply."""
        value = msgspec.json.encode(head).decode()
        key = head_key(self._shard_number)
        try:
            version = await self._platform.put(key, value, self._shard.version, PURPOSE_WRITE)
        except VersionConflictError:
            telemetry.operation_writes.add(1, {"result": "conflict"})
            await self._load()
            return False
        except WriteOutcomeUnknownError:
            telemetry.operation_writes.add(1, {"result": "unknown"})
            stored_head = await self._load()
            return stored_head.write_id == head.write_id
        telemetry.operation_writes.add(1, {"result": "won"})
        self._lost_records = []
        self._shard.load_head(head, version)
        self._loaded_at = time.monotonic()
        return True

    async def _load_if_needed(self) -> None:
        current_era = max(self._platform.era, self._required_era)
        if self._loaded_at < 0 or self._loaded_era != current_era:
            await self._load()
        if self._platform.era < self._required_era:
            raise PlatformUnavailableError(
                f"shard {self._shard_number}: read from era {self._platform.era} of the store, "
                f"era {self._required_era} is known"
            )

    async def _load(self) -> ShardHead:
        """Read the head, and the segments that are not yet cached."""
        # Taken before the read: if the store is restored meanwhile, the shard is loaded again.
        era = self._platform.era
        stored_object = await self._platform.get(head_key(self._shard_number), PURPOSE_READ)
        if stored_object is None:
            stored_object = StoredObject("", 0, msgspec.json.encode(ShardHead("", [], [])).decode())
        head = msgspec.json.decode(stored_object.value, type=ShardHead)
        if self._loaded_at >= 0 and self._loaded_era != self._platform.era:
            self._lost_records = [*self._lost_records, *self._shard.all_records(time.time())]
        for segment in head.segments:
            if segment.key not in self._shard.sealed_by_segment:
                self._shard.sealed_by_segment[segment.key] = await self._load_segment(segment.key)
        self._shard.load_head(head, stored_object.version)
        self._loaded_era = era
        self._loaded_at = time.monotonic()
        return head

    async def _load_segment(self, key: str) -> dict[str, OperationRecord]:
        stored_object = await self._platform.get(key, PURPOSE_READ)
        if stored_object is None:
            raise PlatformUnavailableError(
                f"segment {key} is listed in the shard's head but not stored"
            )
        records = msgspec.json.decode(stored_object.value, type=list[OperationRecord])
        return {record.key: record for record in records}


class _ArrivalRate:
    """Rate of intents over a sliding window, and the batch delay derived from it."""

    def __init__(self) -> None:
        self._arrival_times: list[float] = []

    def add(self, now: float) -> None:
        """Record the arrival of an intent."""
        self._arrival_times.append(now)

    def batch_delay_seconds(self, now: float) -> float:
        """Return how long to wait so that a write carries the target number of changes."""
        window_start = now - ARRIVAL_RATE_WINDOW_SECONDS
        self._arrival_times = [
            arrival_time for arrival_time in self._arrival_times if arrival_time > window_start
        ]
        # Each operation makes two changes: its intent and its completion.
        changes_per_second = 2 * len(self._arrival_times) / ARRIVAL_RATE_WINDOW_SECONDS
        if changes_per_second * MAX_BATCH_DELAY_SECONDS < 2:
            return 0.0
        return min(MAX_BATCH_DELAY_SECONDS, TARGET_CHANGES_PER_WRITE / changes_per_second)
