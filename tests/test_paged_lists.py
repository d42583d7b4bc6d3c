"""Objects that change while a list of several pages is read.

They guard against a change between two pages that is in neither the list nor the watch after it, so
that a daemon goes on using an endpoint that leaves, or never learns of a new one.
"""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable, Iterable

import pytest
from adapter import PlatformStoreDialect
from hypothesis import given, settings
from hypothesis import strategies as st
from ragwortpaddle_standins.relay_platform import Store
from ragwortpaddled.coordination import ObjectWatcher
from ragwortpaddled.protocol import ObjectList, PlatformClient, StoredObject, revision_of
from ragwortpaddled.transport import Http1Client
from relay_fleet import RelayTestBed

KINDS = ["servers", "config", "daemons", "quarantines"]
NAMES = [f"e{number}" for number in range(6)]
PAGE_SIZE = 2
WAIT_SECONDS = 8.0

Change = Callable[[Store, str], None]


def update(store: Store, kind: str) -> None:
    """Change an object of the first page."""
    store.put(kind, "e0", {"state": "draining"})


def remove(store: Store, kind: str) -> None:
    """Remove an object of the first page."""
    store.remove(kind, "e1")


def replace(store: Store, kind: str) -> None:
    """Remove an object of the first page, and create another one of its name."""
    store.remove(kind, "e1")
    store.put(kind, "e1", {"born": 2})


def create(store: Store, kind: str) -> None:
    """Create an object that belongs on the first page."""
    store.put(kind, "e00", {})


CHANGES = [update, remove, replace, create]


class PagedStore:
    """A store whose lists have three pages, with clients and watchers of it."""

    def __init__(self) -> None:
        self.store = Store()
        self.http = Http1Client()
        self.tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "PagedStore":
        await self.store.start()
        self.store.page_size = PAGE_SIZE
        for kind in KINDS:
            for name in NAMES:
                self.store.put(kind, name, {"state": "ready"})
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        self.http.close()
        self.store.stop()

    def client(self) -> PlatformClient:
        url = f"http://{self.store.address}"
        return PlatformClient(self.http, url, WAIT_SECONDS, PlatformStoreDialect())

    def watch(self, kind: str) -> ObjectWatcher:
        """Start to follow the objects of a kind."""
        watcher = ObjectWatcher(
            self.client(), f"{kind}/", lambda key, stored: None, random.Random(1)
        )
        self.tasks.append(asyncio.create_task(watcher.run()))
        return watcher

    def after_page(self, kind: str, number: int, change: Change) -> asyncio.Event:
        """Make a change once, after a page of a list has been read; return its event."""
        changed = asyncio.Event()

        def change_once(listed_kind: str, listed_number: int) -> None:
            if (listed_kind, listed_number) == (kind, number):
                self.store.after_page = lambda kind, number: None
                change(self.store, kind)
                changed.set()

        self.store.after_page = change_once
        return changed

    def content(self, kind: str) -> dict[str, int]:
        """Return the revisions of all objects of a kind by key."""
        return {
            key: stored["metadata"]["revision"]
            for key, stored in self.store.object_by_key.items()
            if key.startswith(f"{kind}/")
        }

    async def wait_until_known(self, watcher: ObjectWatcher, kind: str) -> None:
        """Wait until a watcher knows just what the store has."""
        deadline = time.monotonic() + WAIT_SECONDS
        while revisions(watcher.object_by_key.values()) != self.content(kind):
            assert time.monotonic() < deadline, "the watcher does not know what the store has"
            await asyncio.sleep(0.01)


def revisions(objects: Iterable[StoredObject]) -> dict[str, int]:
    """Return the revisions of objects by key."""
    return {stored.key: revision_of(stored.version) for stored in objects}


@pytest.fixture
async def paged() -> AsyncIterator[PagedStore]:
    async with PagedStore() as paged:
        yield paged


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("page", [1, 2])
@pytest.mark.parametrize("kind", KINDS)
class TestChangeBetweenPages:
    async def test_list_has_it(self, paged: PagedStore, kind, page, change) -> None:
        """Also for those that read a list and watch nothing, as that of quarantines."""
        paged.after_page(kind, page, change)
        listing = await paged.client().list_objects(f"{kind}/", "test")
        assert revisions(listing.objects) == paged.content(kind)

    async def test_starting_watcher_learns_of_it(self, paged, kind, page, change) -> None:
        paged.after_page(kind, page, change)
        watcher = paged.watch(kind)
        await watcher.initial_list_done.wait()
        await paged.wait_until_known(watcher, kind)


@pytest.mark.parametrize("change", CHANGES)
class TestLaterList:
    """Lists that a running daemon reads again."""

    async def test_after_lost_history(self, paged: PagedStore, change) -> None:
        watcher = paged.watch("servers")
        await watcher.initial_list_done.wait()
        changed = paged.after_page("servers", 1, change)
        paged.store.put("servers", "e5", {})
        paged.store.compact_history()
        async with asyncio.timeout(WAIT_SECONDS):
            await changed.wait()
        await paged.wait_until_known(watcher, "servers")

    async def test_after_a_restore(self, paged: PagedStore, change) -> None:
        watcher = paged.watch("servers")
        await watcher.initial_list_done.wait()
        copy = paged.store.copy()
        paged.store.put("servers", "e5", {})
        await paged.wait_until_known(watcher, "servers")
        changed = paged.after_page("servers", 1, change)
        paged.store.restore(copy)
        async with asyncio.timeout(WAIT_SECONDS):
            await changed.wait()
        await paged.wait_until_known(watcher, "servers")


class TestDiscardedHistory:
    async def test_list_without_the_changes_is_read_again(self, paged: PagedStore) -> None:
        def change(store: Store, kind: str) -> None:
            update(store, kind)
            store.compact_history()

        paged.after_page("servers", 1, change)
        watcher = paged.watch("servers")
        await watcher.initial_list_done.wait()
        await paged.wait_until_known(watcher, "servers")


class TestAnyChanges:
    @settings(max_examples=40, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(1, 4), st.sampled_from([*NAMES, "e00", "e9"]), st.booleans()),
            max_size=12,
        )
    )
    def test_list_and_watch_lose_none(self, changes: list[tuple[int, str, bool]]) -> None:
        """A watch that goes on from the list has all that the list lacks."""

        async def run() -> None:
            async with PagedStore() as paged:

                def apply(kind: str, number: int) -> None:
                    for page, name, removed in changes:
                        if page == number and removed:
                            paged.store.remove("servers", name)
                        elif page == number:
                            paged.store.put("servers", name, {})

                paged.store.after_page = apply
                client = paged.client()
                listing = await client.list_objects("servers/", "test")
                known = {stored.key: stored for stored in listing.objects}
                apply_changes(known, await client.watch("servers/", listing.revision, 0.0, "test"))
                assert revisions(known.values()) == paged.content("servers")

        asyncio.run(run())


def apply_changes(known: dict[str, StoredObject], changes: ObjectList) -> None:
    for key in changes.removed:
        known.pop(key, None)
    known.update({stored.key: stored for stored in changes.objects})


class TestLeavingEndpoint:
    async def test_daemon_that_starts_meanwhile_does_not_use_it(self, tmp_path) -> None:
        async with RelayTestBed(tmp_path) as testbed:
            testbed.store.page_size = 1
            leaving, staying = testbed.desks

            def leave(kind: str, number: int) -> None:
                if (kind, number) == ("servers", 2):
                    testbed.store.after_page = lambda kind, number: None
                    leaving.register("draining")

            testbed.store.after_page = leave
            daemon = await testbed.start_daemon("entry-2", testbed.store.address)
            await daemon._relay_directory._config_watcher.initial_list_done.wait()
            await daemon._relay_directory._endpoint_watcher.initial_list_done.wait()
            for number in range(10):
                attempt = b"b%d" % number
                head, body = await testbed.ask(b"POST", b"/book/1", attempt, daemon)
                assert (head.status, body) == (200, b"answer of " + staying.id.encode())
            await daemon.shutdown()
