"""The lease: renewal without a read, and a read to resolve a write whose response was lost."""

import time

import pytest
from ragwortpaddled.coordination import Lease
from ragwortpaddled.errors import VersionConflictError, WriteOutcomeUnknownError
from ragwortpaddled.protocol import StoredObject, make_version, revision_of

DURATION_SECONDS = 3.0
STEADY_TIME = 1000.0  # a clock that stands still while the VM is suspended


class SingleObjectStore:
    """A store of one object; ``lost_replies`` fails the next writes before or after they apply."""

    def __init__(self) -> None:
        self.era = 1
        self.stored: StoredObject | None = None
        self.reads = 0
        self.lost_replies: list[str] = []

    async def get(self, key: str, purpose: str) -> StoredObject | None:
        self.reads += 1
        return self.stored

    async def put(self, key: str, value: str, expected: int, purpose: str) -> int:
        lost = self.lost_replies.pop(0) if self.lost_replies else ""
        if lost == "before":
            raise WriteOutcomeUnknownError(key)
        current = self.stored.version if self.stored else 0
        if current != expected:
            raise VersionConflictError(key, current)
        self.stored = StoredObject(key, max(current, make_version(self.era, 0)) + 1, value)
        if lost == "after":
            raise WriteOutcomeUnknownError(key)
        return self.stored.version

    def restore(self, copy: StoredObject | None) -> None:
        self.era += 1
        if copy is not None:
            revision = make_version(self.era, revision_of(copy.version))
            copy = StoredObject(copy.key, revision, copy.value)
        self.stored = copy


@pytest.fixture
def store() -> SingleObjectStore:
    return SingleObjectStore()


@pytest.fixture
def clock(monkeypatch) -> list[float]:
    clock = [1000.0]
    monkeypatch.setattr(
        "ragwortpaddled.coordination._lease.time.clock_gettime",
        lambda clock_id: clock[0] if clock_id == time.CLOCK_BOOTTIME else STEADY_TIME,
    )
    monkeypatch.setattr("ragwortpaddled.coordination._lease.time.monotonic", lambda: STEADY_TIME)
    return clock


def lease_of(store: SingleObjectStore, holder: str) -> Lease:
    return Lease(store, "placement", holder)


def first_token(store: SingleObjectStore) -> int:
    """Return the first fencing token of the store's present era."""
    return make_version(store.era, 1)


class TestRenewal:
    async def test_renewal_needs_no_read(self, store: SingleObjectStore, clock) -> None:
        lease = lease_of(store, "a")
        assert await lease.acquire_or_renew()
        reads = store.reads
        for _ in range(5):
            clock[0] += 1.0
            assert await lease.acquire_or_renew()
        assert store.reads == reads
        assert lease.fencing_token == first_token(store)

    @pytest.mark.parametrize("lost", ["before", "after"])
    async def test_lost_write_response_is_resolved_by_a_read(self, store, clock, lost: str) -> None:
        lease = lease_of(store, "a")
        await lease.acquire_or_renew()
        store.lost_replies = [lost]
        clock[0] += 0.8
        assert await lease.acquire_or_renew()
        clock[0] += 0.8
        assert await lease.acquire_or_renew()
        assert lease.fencing_token == first_token(store)
        assert lease.remaining_seconds() > DURATION_SECONDS / 2

    async def test_holder_that_paused_loses_the_lease(
        self, store: SingleObjectStore, clock
    ) -> None:
        paused, other = lease_of(store, "a"), lease_of(store, "b")
        await paused.acquire_or_renew()
        assert not await other.acquire_or_renew()
        clock[0] += DURATION_SECONDS + 0.1
        assert await other.acquire_or_renew()
        assert other.fencing_token == first_token(store) + 1
        assert paused.remaining_seconds() == 0
        assert not await paused.acquire_or_renew()
        assert paused.fencing_token < other.fencing_token

    async def test_only_one_of_two_concurrent_acquisitions_succeeds(
        self, store: SingleObjectStore, clock
    ) -> None:
        first, second = lease_of(store, "a"), lease_of(store, "b")
        read = await store.get("leases/placement", "test")
        assert read is None
        held = [await first.acquire_or_renew(), await second.acquire_or_renew()]
        assert held == [True, False]


class TestSuspendedVm:
    async def test_lease_has_expired_when_its_holder_wakes_up(
        self, store: SingleObjectStore, clock
    ) -> None:
        """Only the boot time counts the suspension; the steady clock stands still meanwhile."""
        lease = lease_of(store, "a")
        assert await lease.acquire_or_renew()
        clock[0] += DURATION_SECONDS + 2.0
        assert lease.remaining_seconds() == 0


async def replace_holder(
    store: SingleObjectStore, clock: list[float]
) -> tuple[StoredObject, Lease]:
    """Let a second holder acquire the lease of a first; return the first's lease and the second."""
    first, second = lease_of(store, "a"), lease_of(store, "b")
    await first.acquire_or_renew()
    copy = store.stored
    await second.acquire_or_renew()
    clock[0] += DURATION_SECONDS + 0.1
    assert await second.acquire_or_renew()
    return copy, second


class TestRestoredStore:
    async def test_token_exceeds_those_that_the_store_has_lost(self, store, clock) -> None:
        copy, second = await replace_holder(store, clock)
        third = lease_of(store, "c")
        store.restore(copy)
        assert not await third.acquire_or_renew()
        clock[0] += DURATION_SECONDS + 0.1
        assert await third.acquire_or_renew()
        assert third.fencing_token > second.fencing_token

    async def test_released_lease_of_the_copy_may_be_held_by_a_lost_holder(
        self, store, clock
    ) -> None:
        first, second, third = (lease_of(store, name) for name in "abc")
        await first.acquire_or_renew()
        await first.release()
        copy = store.stored
        assert await second.acquire_or_renew()
        store.restore(copy)
        assert not await third.acquire_or_renew()
        clock[0] += DURATION_SECONDS + 0.1
        assert second.remaining_seconds() == 0
        assert await third.acquire_or_renew()

    async def test_absent_lease_may_be_held_by_a_lost_holder(self, store, clock) -> None:
        holder, other = lease_of(store, "a"), lease_of(store, "b")
        assert await holder.acquire_or_renew()
        assert not await other.acquire_or_renew()
        store.restore(None)
        assert not await other.acquire_or_renew()
        clock[0] += DURATION_SECONDS + 0.1
        assert await other.acquire_or_renew()
        assert other.fencing_token > holder.fencing_token

    async def test_holder_that_the_copy_names_continues_with_a_new_token(
        self, store, clock
    ) -> None:
        lease = lease_of(store, "a")
        await lease.acquire_or_renew()
        copy = store.stored
        clock[0] += 0.8
        await lease.acquire_or_renew()
        token = lease.fencing_token
        store.restore(copy)
        clock[0] += 0.8
        assert await lease.acquire_or_renew()
        assert lease.fencing_token > token
        assert lease.remaining_seconds() > DURATION_SECONDS / 2

    async def test_holder_that_the_store_has_lost_gives_up(self, store, clock) -> None:
        copy, second = await replace_holder(store, clock)
        store.restore(copy)
        await second.acquire_or_renew()
        assert store.stored.value == copy.value
