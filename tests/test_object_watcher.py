"""Keeping a copy of stored objects through outages of the store."""

import asyncio
import random
import time

import pytest
from ragwortpaddled.coordination import ObjectWatcher
from ragwortpaddled.errors import HistoryLostError, PlatformUnavailableError, ReplyTimeoutError
from ragwortpaddled.protocol import ObjectChange, ObjectList, StoredObject, make_version

TIMEOUT_SECONDS = 4.0


class ScriptedPlatform:
    """Returns lists and watches from scripts, raises scripted errors, and then blocks."""

    era = 0

    def __init__(self, lists: list, watches: list) -> None:
        self._lists = lists
        self._watches = watches
        self.watched_from: list[int] = []

    async def list_objects(self, prefix: str, purpose: str) -> ObjectList:
        return await self._next(self._lists)

    async def watch(self, prefix: str, after: int, wait_seconds: float, purpose: str) -> ObjectList:
        self.watched_from.append(after)
        return await self._next(self._watches)

    @staticmethod
    async def _next(script: list) -> ObjectList:
        if not script:
            await asyncio.Event().wait()
        step = script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


def stored(name: str, version: int) -> StoredObject:
    return StoredObject(f"servers/{name}", version, "{}")


async def run_watcher(lists: list, watches: list, seconds: float) -> tuple[ObjectWatcher, list]:
    changes: list[tuple[str, bool]] = []
    platform = ScriptedPlatform(lists, watches)
    object_watcher = ObjectWatcher(
        platform,
        "servers/",
        lambda key, value: changes.append((key, value is not None)),
        random.Random(1),
    )
    task = asyncio.create_task(object_watcher.run())
    await asyncio.sleep(seconds)
    task.cancel()
    return object_watcher, changes


def timeout_error() -> PlatformUnavailableError:
    """Return the error of a call that got no response."""
    error = PlatformUnavailableError("silent")
    error.__cause__ = ReplyTimeoutError("no reply")
    return error


BOTH = ObjectList(5, [stored("a", 1), stored("b", 2)])


class TestChanges:
    async def test_removal_is_immediate_while_the_store_responds(self) -> None:
        object_watcher, _ = await run_watcher([BOTH], [ObjectList(6, [], ["servers/b"])], 0.1)
        assert set(object_watcher.object_by_key) == {"servers/a"}

    async def test_older_version_is_ignored(self) -> None:
        newer = ObjectList(6, [stored("a", 9)])
        older = ObjectList(7, [stored("a", 3)])
        object_watcher, _ = await run_watcher([BOTH], [newer, older], 0.1)
        assert object_watcher.object_by_key["servers/a"].version == 9

    async def test_lost_history_is_replaced_by_a_new_list(self) -> None:
        new_list = ObjectList(9, [stored("a", 8)])
        object_watcher, changes = await run_watcher(
            [BOTH, new_list], [HistoryLostError("gone")], 0.1
        )
        assert ("servers/b", False) in changes
        assert object_watcher.revision == 9


class TestOutage:
    async def test_expired_entry_is_kept_for_a_grace_period_after_an_outage(self) -> None:
        gone = ObjectList(6, [], ["servers/a", "servers/b"])
        back = ObjectList(7, [stored("a", 7)])
        object_watcher, changes = await run_watcher([BOTH], [timeout_error(), gone, back], 0.5)
        assert ("servers/b", False) not in changes
        assert object_watcher.connected
        await asyncio.sleep(2.6)
        assert set(object_watcher.object_by_key) == {"servers/a"}
        assert ("servers/a", False) not in changes

    async def test_connection_reset_of_a_watch_is_not_an_outage(self) -> None:
        gone = ObjectList(6, [], ["servers/b"])
        _, changes = await run_watcher([BOTH], [PlatformUnavailableError("reset"), gone], 0.5)
        assert ("servers/b", False) in changes


class TestPeerChanges:
    async def test_changes_from_a_peer_are_applied_while_the_store_is_unreachable(self) -> None:
        object_watcher, changes = await run_watcher(
            [BOTH], [PlatformUnavailableError("busy")], 0.05
        )
        object_watcher.merge_peer_changes(
            [ObjectChange("servers/a", 7, '{"leaving": 1}'), ObjectChange("servers/b", 8, None)]
        )
        assert object_watcher.object_by_key["servers/a"].version == 7
        assert ("servers/b", False) in changes

    async def test_older_change_from_a_lagging_peer_is_ignored(self) -> None:
        object_watcher, _ = await run_watcher([BOTH], [PlatformUnavailableError("busy")], 0.05)
        object_watcher.merge_peer_changes([ObjectChange("servers/b", 8, None)])
        object_watcher.merge_peer_changes([ObjectChange("servers/b", 7, "{}")])
        object_watcher.merge_peer_changes([ObjectChange("servers/a", 1, None)])
        assert set(object_watcher.object_by_key) == {"servers/a"}

    async def test_disconnected_watcher_requests_the_last_version_again(self) -> None:
        object_watcher, _ = await run_watcher([BOTH], [PlatformUnavailableError("busy")], 0.05)
        assert not object_watcher.connected
        object_watcher.merge_peer_changes([ObjectChange("servers/b", 8, "{}")])
        assert object_watcher.changes_wanted_after == 7

    async def test_removal_confirmed_by_a_peer_is_immediate(self) -> None:
        gone = ObjectList(9, [], ["servers/b"])
        object_watcher, changes = await run_watcher([BOTH], [timeout_error(), gone], 0.3)
        assert ("servers/b", False) not in changes
        assert object_watcher.changes_wanted_after < 9
        object_watcher.merge_peer_changes([ObjectChange("servers/b", 9, None)])
        assert ("servers/b", False) in changes
        assert object_watcher.changes_wanted_after == 9

    async def test_recent_changes_are_those_after_a_revision(self) -> None:
        gone = ObjectList(6, [], ["servers/b"])
        object_watcher, _ = await run_watcher([BOTH], [gone], 0.1)
        assert object_watcher.recent_changes(5) == [ObjectChange("servers/b", 6, None)]
        assert not object_watcher.recent_changes(6)
        assert object_watcher.changes_wanted_after == 6


BEFORE_RESTORE = ObjectList(make_version(6, 40), [stored("a", make_version(6, 10))])
RESTORED = ObjectList(make_version(7, 45), [])
RESTORED_EARLIER = ObjectList(make_version(7, 30), [stored("a", make_version(7, 10))])
RESTORED_LATER = ObjectList(make_version(7, 45), [stored("a", make_version(7, 10))])


async def run_through_restore(
    restored: ObjectList, watches: list
) -> tuple[ObjectWatcher, list[tuple[str, bool]]]:
    """Return a watcher that has listed the store before and after a restore."""
    return await run_watcher(
        [BEFORE_RESTORE, restored], [HistoryLostError("restored"), *watches], 0.05
    )


async def wait_for_removal(object_watcher: ObjectWatcher, key: str) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while key in object_watcher.object_by_key:
        assert time.monotonic() < deadline, f"{key} is still known after {TIMEOUT_SECONDS} s"
        await asyncio.sleep(0.02)


class TestPeerChangesAfterRestore:
    @pytest.mark.parametrize(
        ("restored", "watches"),
        [
            pytest.param(RESTORED, [], id="removed before the list"),
            pytest.param(
                RESTORED_LATER,
                [ObjectList(make_version(7, 46), [], ["servers/a"])],
                id="removed after the list",
            ),
        ],
    )
    async def test_removal_is_not_lost_by_an_older_change_of_a_peer(
        self, restored: ObjectList, watches: list
    ) -> None:
        """The watcher requested the peer's changes before its own list of the restored store."""
        peer, _ = await run_through_restore(RESTORED_EARLIER, [])
        changes = peer.recent_changes(BEFORE_RESTORE.revision)
        object_watcher, _ = await run_through_restore(restored, watches)
        assert object_watcher.is_removal_deferred("servers/a")
        assert changes == [ObjectChange("servers/a", make_version(7, 10), "{}")]
        object_watcher.merge_peer_changes(changes)
        await wait_for_removal(object_watcher, "servers/a")

    async def test_object_that_the_own_list_lacks_is_not_added_by_an_older_change(self) -> None:
        object_watcher, changes = await run_through_restore(RESTORED, [])
        object_watcher.merge_peer_changes([ObjectChange("servers/c", make_version(7, 45), "{}")])
        assert ("servers/c", True) not in changes

    async def test_object_that_is_written_again_stays(self) -> None:
        object_watcher, changes = await run_through_restore(RESTORED, [])
        object_watcher.merge_peer_changes([ObjectChange("servers/a", make_version(7, 46), "{}")])
        assert not object_watcher.is_removal_deferred("servers/a")
        await asyncio.sleep(2.6)
        assert ("servers/a", False) not in changes

    async def test_daemon_without_the_store_applies_changes_after_its_own_list(self) -> None:
        object_watcher, changes = await run_through_restore(
            RESTORED, [PlatformUnavailableError("busy")]
        )
        assert not object_watcher.connected
        object_watcher.merge_peer_changes(
            [
                ObjectChange("servers/a", make_version(7, 47), '{"leaving": 1}'),
                ObjectChange("servers/c", make_version(7, 46), "{}"),
            ]
        )
        assert object_watcher.object_by_key["servers/a"].version == make_version(7, 47)
        assert ("servers/c", True) in changes

    async def test_daemon_that_has_not_listed_the_restored_store_applies_its_changes(self) -> None:
        object_watcher, _ = await run_watcher(
            [BEFORE_RESTORE], [PlatformUnavailableError("busy")], 0.05
        )
        object_watcher.merge_peer_changes([ObjectChange("servers/a", make_version(7, 10), "{}")])
        assert object_watcher.object_by_key["servers/a"].version == make_version(7, 10)

    async def test_object_that_the_restored_store_lacks_goes_although_a_peer_still_reports_it(
        self,
    ) -> None:
        """The peer has not reached the store since the restore."""
        peer, _ = await run_watcher([BEFORE_RESTORE], [PlatformUnavailableError("busy")], 0.05)
        changes = peer.recent_changes(0)
        object_watcher, _ = await run_through_restore(RESTORED, [])
        object_watcher.merge_peer_changes(changes)
        await wait_for_removal(object_watcher, "servers/a")

    async def test_removal_before_the_restore_does_not_end_the_grace_period(self) -> None:
        """Endpoints write the entries again that the restored store has lost."""
        gone = ObjectList(make_version(6, 41), [], ["servers/a"])
        peer, _ = await run_watcher(
            [BEFORE_RESTORE], [gone, PlatformUnavailableError("busy")], 0.05
        )
        changes = peer.recent_changes(BEFORE_RESTORE.revision)
        assert changes == [ObjectChange("servers/a", make_version(6, 41), None)]
        object_watcher, _ = await run_through_restore(RESTORED, [])
        object_watcher.merge_peer_changes(changes)
        assert object_watcher.is_removal_deferred("servers/a")
