"""Commits operation records to the platform: batched by shard, fenced by conditional update."""

import asyncio
import logging
import time
from dataclasses import dataclass, field

import msgspec

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._summaries import Fleet
from ragwortpaddled.errors import (
    PlatformError,
    PlatformUnavailableError,
    RagwortpaddleError,
    TransportError,
    VersionConflictError,
    WriteOutcomeUnknownError,
)
from ragwortpaddled.protocol import (
    Change,
    ChangesReply,
    CommitChanges,
    Completion,
    Intent,
    Judgement,
    OperationRecord,
    Platform,
    StoredObject,
    Verdict,
)
from ragwortpaddled.state import (
    SEAL_BYTES,
    Shard,
    ShardDraft,
    ShardHead,
    choose,
    head_key,
    new_segment_key,
    shard_of,
)

PURPOSE_WRITE = "operation-write"
PURPOSE_READ = "operation-read"
PURPOSE_SEAL = "operation-seal"
TARGET_CHANGES_PER_WRITE = 12
MAX_LINGER_SECONDS = 0.12
COMPLETION_LINGER_SECONDS = 0.5
MAX_WRITE_TRIES = 6
OWNER_TIMEOUT_SECONDS = 1.5
AVOID_OWNER_SECONDS = 3.0
REFRESH_AFTER_SECONDS = 0.5
SETTLE_MIN_SECONDS = 0.2
SETTLE_MAX_SECONDS = 5.0
RATE_WINDOW_SECONDS = 1.0

logger = logging.getLogger(__name__)


class LedgerUnavailableError(RagwortpaddleError):
    """The records cannot be reached, so no operation may start."""


@dataclass(slots=True, eq=False)
class _Pending:
    """A change that waits for a write."""

    change: Change
    done: asyncio.Future[Judgement] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class ShardWriter:
    """Writes one shard; any number of daemons may do so at once, and only one write wins."""

    def __init__(self, shard: int, platform: Platform) -> None:
        self._shard_number = shard
        self._platform = platform
        self._shard = Shard()
        self._loaded_at = -1.0
        self._pending: list[_Pending] = []
        self._wake = asyncio.Event()
        self._rate = _ArrivalRate()
        self._task: asyncio.Task[None] | None = None

    async def submit(self, change: Change) -> Judgement:
        """Commit a change and return the judgement on it.

        :raises LedgerUnavailableError: it was not committed by this call
        """
        pending = _Pending(change)
        self._pending.append(pending)
        if isinstance(change, Intent):
            self._rate.add(time.monotonic())
        self._wake.set()
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        return await pending.done

    async def close(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._linger()
            batch, self._pending = self._pending, []
            if batch:
                await self._commit(batch)

    async def _linger(self) -> None:
        """Wait for more changes: longer under load, and longest for completions alone."""
        started_at = time.monotonic()
        while True:
            waited = time.monotonic() - started_at
            has_intent = any(isinstance(item.change, Intent) for item in self._pending)
            limit = COMPLETION_LINGER_SECONDS
            if has_intent:
                limit = self._rate.linger_seconds(time.monotonic())
            if waited >= limit or len(self._pending) >= 10 * TARGET_CHANGES_PER_WRITE:
                return
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), limit - waited)
            except TimeoutError:
                continue

    async def _commit(self, batch: list[_Pending]) -> None:
        try:
            judgements = await self._write([item.change for item in batch])
        except PlatformError as error:
            failure = LedgerUnavailableError(str(error))
            for item in batch:
                if not item.done.done():
                    item.done.set_exception(failure)
            return
        for item, judgement in zip(batch, judgements, strict=True):
            if not item.done.done():
                item.done.set_result(judgement)

    async def _write(self, changes: list[Change]) -> list[Judgement]:
        """Apply changes and write the shard until one write is known to have won."""
        await self._load_if_needed()
        for _ in range(MAX_WRITE_TRIES):
            draft = self._shard.draft(time.time())
            judgements = [draft.apply(change) for change in changes]
            if not draft.changed:
                if await self._confirmed(judgements):
                    return judgements
                continue
            head = await self._sealed_head(draft)
            if await self._put(head):
                return judgements
        raise PlatformUnavailableError(f"shard {self._shard_number}: too many conflicts")

    async def _confirmed(self, judgements: list[Judgement]) -> bool:
        """Make sure that judgements made without a write rest on fresh records."""
        final = (Verdict.FINISHED, Verdict.KEY_REUSED, Verdict.STALE)
        if all(judgement.verdict in final for judgement in judgements):
            return True
        if time.monotonic() - self._loaded_at < REFRESH_AFTER_SECONDS:
            return True
        await self._load()
        return False

    async def _sealed_head(self, draft: ShardDraft) -> ShardHead:
        head = draft.head()
        if len(msgspec.json.encode(head)) <= SEAL_BYTES:
            return head
        if draft.full:
            raise PlatformUnavailableError(f"shard {self._shard_number} is full")
        key = new_segment_key(self._shard_number)
        records = draft.seal(key)
        await self._platform.put(key, msgspec.json.encode(records).decode(), 0, PURPOSE_SEAL)
        self._shard.sealed_by_segment[key] = {record.key: record for record in records}
        return draft.head()

    async def _put(self, head: ShardHead) -> bool:
        """Write the head; return whether it won, reading back where the reply was lost."""
        value = msgspec.json.encode(head).decode()
        key = head_key(self._shard_number)
        try:
            version = await self._platform.put(key, value, self._shard.version, PURPOSE_WRITE)
        except VersionConflictError:
            telemetry.ledger_writes.add(1, {"result": "conflict"})
            await self._load()
            return False
        except WriteOutcomeUnknownError:
            telemetry.ledger_writes.add(1, {"result": "unknown"})
            stored = await self._load()
            return stored.write_id == head.write_id
        telemetry.ledger_writes.add(1, {"result": "won"})
        self._shard.adopt(head, version)
        self._loaded_at = time.monotonic()
        return True

    async def _load_if_needed(self) -> None:
        if self._loaded_at < 0:
            await self._load()

    async def _load(self) -> ShardHead:
        """Read the head, and the segments that are not yet held."""
        stored = await self._platform.get(head_key(self._shard_number), PURPOSE_READ)
        if stored is None:
            stored = StoredObject("", 0, msgspec.json.encode(ShardHead("", [], [])).decode())
        head = msgspec.json.decode(stored.value, type=ShardHead)
        for segment in head.segments:
            if segment.key not in self._shard.sealed_by_segment:
                self._shard.sealed_by_segment[segment.key] = await self._load_segment(segment.key)
        self._shard.adopt(head, stored.version)
        self._loaded_at = time.monotonic()
        return head

    async def _load_segment(self, key: str) -> dict[str, OperationRecord]:
        stored = await self._platform.get(key, PURPOSE_READ)
        if stored is None:
            raise PlatformUnavailableError(f"segment {key} is missing")
        records = msgspec.json.decode(stored.value, type=list[OperationRecord])
        return {record.key: record for record in records}


class Ledger:
    """The operations' records: asks each shard's preferred writer, or writes itself."""

    def __init__(self, fleet: Fleet, platform: Platform) -> None:
        self._fleet = fleet
        self._platform = platform
        self._writer_by_shard: dict[int, ShardWriter] = {}
        self._channel_by_shard: dict[int, _OwnerChannel] = {}
        self._avoided_until_by_address: dict[str, float] = {}
        self._settling: set[asyncio.Task[None]] = set()

    async def begin(self, intent: Intent) -> Judgement:
        """Ask to run an attempt.

        :raises LedgerUnavailableError: it may not run
        """
        return await self._commit(intent)

    def complete(self, completion: Completion) -> None:
        """Record what became of an attempt, however long that takes."""
        task = asyncio.create_task(self._settle(completion))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def answer(self, message: CommitChanges) -> ChangesReply:
        """Commit changes for a peer."""
        writer = self._writer(message.shard)
        results = await asyncio.gather(
            *(writer.submit(change) for change in message.changes), return_exceptions=True
        )
        return ChangesReply([r if isinstance(r, Judgement) else None for r in results])

    async def flush(self) -> None:
        """Wait until every completion is recorded."""
        while self._settling:
            await asyncio.wait(set(self._settling))

    @property
    def unsettled(self) -> int:
        """Return how many completions are not yet recorded."""
        return len(self._settling)

    async def close(self) -> None:
        """Stop writing."""
        for task in self._settling:
            task.cancel()
        for writer in self._writer_by_shard.values():
            await writer.close()
        for channel in self._channel_by_shard.values():
            await channel.close()

    async def _settle(self, completion: Completion) -> None:
        pause = SETTLE_MIN_SECONDS
        while True:
            try:
                await self._commit(completion)
                return
            except LedgerUnavailableError:
                await asyncio.sleep(pause)
                pause = min(pause * 2, SETTLE_MAX_SECONDS)

    async def _commit(self, change: Change) -> Judgement:
        shard = shard_of(change.key)
        address_by_name = self._fleet.address_by_name()
        own = self._fleet.membership.own.name
        owner = choose(address_by_name, f"operations/{shard}")
        if owner is not None and owner != own and self._reachable(address_by_name[owner]):
            judgement = await self._channel(shard).commit(change, address_by_name[owner])
            if judgement is not None:
                return judgement
            self._avoided_until_by_address[address_by_name[owner]] = (
                time.monotonic() + AVOID_OWNER_SECONDS
            )
        return await self._writer(shard).submit(change)

    def _reachable(self, address: str) -> bool:
        return time.monotonic() >= self._avoided_until_by_address.get(address, 0.0)

    def _writer(self, shard: int) -> ShardWriter:
        if shard not in self._writer_by_shard:
            self._writer_by_shard[shard] = ShardWriter(shard, self._platform)
        return self._writer_by_shard[shard]

    def _channel(self, shard: int) -> "_OwnerChannel":
        if shard not in self._channel_by_shard:
            self._channel_by_shard[shard] = _OwnerChannel(shard, self._fleet)
        return self._channel_by_shard[shard]


class _OwnerChannel:
    """Sends one shard's changes to its preferred writer, many in one message."""

    MAX_IN_FLIGHT = 4

    def __init__(self, shard: int, fleet: Fleet) -> None:
        self._shard = shard
        self._fleet = fleet
        self._pending: list[_Pending] = []
        self._in_flight: set[asyncio.Task[None]] = set()
        self._address = ""

    async def commit(self, change: Change, address: str) -> Judgement | None:
        """Return the owner's judgement, or None if the owner gave none."""
        pending = _Pending(change)
        self._pending.append(pending)
        self._address = address
        self._send()
        try:
            return await pending.done
        except (TransportError, LedgerUnavailableError):
            return None

    async def close(self) -> None:
        """End the messages that are under way."""
        for task in self._in_flight:
            task.cancel()
        await asyncio.gather(*self._in_flight, return_exceptions=True)

    def _send(self) -> None:
        if not self._pending or len(self._in_flight) >= self.MAX_IN_FLIGHT:
            return
        batch, self._pending = self._pending, []
        task = asyncio.create_task(self._exchange(batch, self._address))
        self._in_flight.add(task)
        task.add_done_callback(self._sent)

    def _sent(self, task: asyncio.Task[None]) -> None:
        self._in_flight.discard(task)
        self._send()

    async def _exchange(self, batch: list[_Pending], address: str) -> None:
        message = CommitChanges(self._shard, [item.change for item in batch])
        links = self._fleet.membership.links
        try:
            reply = await links.request(address, message, OWNER_TIMEOUT_SECONDS)
            if not isinstance(reply, ChangesReply) or len(reply.judgements) != len(batch):
                raise TransportError(f"{address}: not an answer to commit_changes")
        except TransportError as error:
            for item in batch:
                if not item.done.done():
                    item.done.set_exception(error)
            return
        for item, judgement in zip(batch, reply.judgements, strict=True):
            if item.done.done():
                continue
            if judgement is None:
                item.done.set_exception(LedgerUnavailableError("the owner could not commit"))
            else:
                item.done.set_result(judgement)


class _ArrivalRate:
    """Intents a second over a sliding window, and the linger that follows from it."""

    def __init__(self) -> None:
        self._arrivals: list[float] = []

    def add(self, now: float) -> None:
        """Note an arrival."""
        self._arrivals.append(now)

    def linger_seconds(self, now: float) -> float:
        """Return how long to wait so that a write carries its target of changes."""
        horizon = now - RATE_WINDOW_SECONDS
        self._arrivals = [arrival for arrival in self._arrivals if arrival > horizon]
        # Each operation brings two changes, its intent and its completion.
        rate = 2 * len(self._arrivals) / RATE_WINDOW_SECONDS
        if rate * MAX_LINGER_SECONDS < 2:
            return 0.0
        return min(MAX_LINGER_SECONDS, TARGET_CHANGES_PER_WRITE / rate)
