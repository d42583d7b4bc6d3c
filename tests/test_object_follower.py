"""Keeping a copy of stored objects through outages of the store."""

import asyncio
import random

from ragwortpaddled.coordination import ObjectFollower
from ragwortpaddled.errors import HistoryLostError, PlatformUnavailableError, ReplyTimeoutError
from ragwortpaddled.protocol import ObjectChange, ObjectList, StoredObject


class ScriptedPlatform:
    """Returns lists and watches from scripts, raises scripted errors, and then blocks."""

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


async def run_follower(lists: list, watches: list, seconds: float) -> tuple[ObjectFollower, list]:
    changes: list[tuple[str, bool]] = []
    platform = ScriptedPlatform(lists, watches)
    follower = ObjectFollower(
        platform,
        "servers/",
        lambda key, value: changes.append((key, value is not None)),
        random.Random(1),
    )
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(seconds)
    task.cancel()
    return follower, changes


def timeout_error() -> PlatformUnavailableError:
    """Return the error of a call that got no response."""
    error = PlatformUnavailableError("silent")
    error.__cause__ = ReplyTimeoutError("no reply")
    return error


BOTH = ObjectList(5, [stored("a", 1), stored("b", 2)])


class TestChanges:
    async def test_removal_is_immediate_while_the_store_responds(self) -> None:
        follower, _ = await run_follower([BOTH], [ObjectList(6, [], ["servers/b"])], 0.1)
        assert set(follower.object_by_key) == {"servers/a"}

    async def test_older_version_is_ignored(self) -> None:
        newer = ObjectList(6, [stored("a", 9)])
        older = ObjectList(7, [stored("a", 3)])
        follower, _ = await run_follower([BOTH], [newer, older], 0.1)
        assert follower.object_by_key["servers/a"].version == 9

    async def test_lost_history_is_replaced_by_a_new_list(self) -> None:
        again = ObjectList(9, [stored("a", 8)])
        follower, changes = await run_follower([BOTH, again], [HistoryLostError("gone")], 0.1)
        assert ("servers/b", False) in changes
        assert follower.revision == 9


class TestOutage:
    async def test_expired_entry_is_kept_for_a_grace_period_after_an_outage(self) -> None:
        gone = ObjectList(6, [], ["servers/a", "servers/b"])
        back = ObjectList(7, [stored("a", 7)])
        follower, changes = await run_follower([BOTH], [timeout_error(), gone, back], 0.5)
        assert ("servers/b", False) not in changes
        assert follower.connected
        await asyncio.sleep(2.6)
        assert set(follower.object_by_key) == {"servers/a"}
        assert ("servers/a", False) not in changes

    async def test_connection_reset_of_a_watch_is_not_an_outage(self) -> None:
        gone = ObjectList(6, [], ["servers/b"])
        _, changes = await run_follower([BOTH], [PlatformUnavailableError("reset"), gone], 0.5)
        assert ("servers/b", False) in changes


class TestPeerChanges:
    async def test_changes_from_a_peer_are_applied_while_the_store_is_unreachable(self) -> None:
        follower, changes = await run_follower([BOTH], [PlatformUnavailableError("busy")], 0.05)
        follower.merge_peer_changes(
            [ObjectChange("servers/a", 7, '{"leaving": 1}'), ObjectChange("servers/b", 8, None)]
        )
        assert follower.object_by_key["servers/a"].version == 7
        assert ("servers/b", False) in changes

    async def test_older_change_from_a_lagging_peer_is_ignored(self) -> None:
        follower, _ = await run_follower([BOTH], [PlatformUnavailableError("busy")], 0.05)
        follower.merge_peer_changes([ObjectChange("servers/b", 8, None)])
        follower.merge_peer_changes([ObjectChange("servers/b", 7, "{}")])
        follower.merge_peer_changes([ObjectChange("servers/a", 1, None)])
        assert set(follower.object_by_key) == {"servers/a"}

    async def test_disconnected_follower_requests_the_last_version_again(self) -> None:
        follower, _ = await run_follower([BOTH], [PlatformUnavailableError("busy")], 0.05)
        assert not follower.connected
        follower.merge_peer_changes([ObjectChange("servers/b", 8, "{}")])
        assert follower.changes_wanted_after == 7

    async def test_removal_confirmed_by_a_peer_is_immediate(self) -> None:
        gone = ObjectList(9, [], ["servers/b"])
        follower, changes = await run_follower([BOTH], [timeout_error(), gone], 0.3)
        assert ("servers/b", False) not in changes
        assert follower.changes_wanted_after < 9
        follower.merge_peer_changes([ObjectChange("servers/b", 9, None)])
        assert ("servers/b", False) in changes
        assert follower.changes_wanted_after == 9

    async def test_recent_changes_are_those_after_a_revision(self) -> None:
        gone = ObjectList(6, [], ["servers/b"])
        follower, _ = await run_follower([BOTH], [gone], 0.1)
        assert follower.recent_changes(5) == [ObjectChange("servers/b", 6, None)]
        assert not follower.recent_changes(6)
        assert follower.changes_wanted_after == 6
