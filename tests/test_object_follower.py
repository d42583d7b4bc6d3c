"""Following objects through outages of the store."""

import asyncio
import random

from ragwortpaddled.coordination import ObjectFollower
from ragwortpaddled.errors import HistoryLostError, PlatformUnavailableError, ReplyTimeoutError
from ragwortpaddled.protocol import ObjectChange, ObjectList, StoredObject


class ScriptedPlatform:
    """Answers lists and watches from scripts; an exception is raised, an end waits for ever."""

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


async def follow(lists: list, watches: list, seconds: float) -> tuple[ObjectFollower, list]:
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


def silence() -> PlatformUnavailableError:
    """Return the error of a call to which nothing came."""
    error = PlatformUnavailableError("silent")
    error.__cause__ = ReplyTimeoutError("no reply")
    return error


BOTH = ObjectList(5, [stored("a", 1), stored("b", 2)])


class TestChanges:
    async def test_removal_at_once_while_the_store_answers(self) -> None:
        follower, _ = await follow([BOTH], [ObjectList(6, [], ["servers/b"])], 0.1)
        assert set(follower.object_by_key) == {"servers/a"}

    async def test_older_version_is_not_taken(self) -> None:
        newer = ObjectList(6, [stored("a", 9)])
        older = ObjectList(7, [stored("a", 3)])
        follower, _ = await follow([BOTH], [newer, older], 0.1)
        assert follower.object_by_key["servers/a"].version == 9

    async def test_lost_history_is_read_anew(self) -> None:
        again = ObjectList(9, [stored("a", 8)])
        follower, changes = await follow([BOTH, again], [HistoryLostError("gone")], 0.1)
        assert ("servers/b", False) in changes
        assert follower.revision == 9


class TestOutage:
    async def test_lapsed_entry_has_two_seconds_to_come_back(self) -> None:
        gone = ObjectList(6, [], ["servers/a", "servers/b"])
        back = ObjectList(7, [stored("a", 7)])
        follower, changes = await follow([BOTH], [silence(), gone, back], 0.5)
        assert ("servers/b", False) not in changes
        assert follower.in_touch
        await asyncio.sleep(2.6)
        assert set(follower.object_by_key) == {"servers/a"}
        assert ("servers/a", False) not in changes

    async def test_reset_watch_is_no_outage(self) -> None:
        gone = ObjectList(6, [], ["servers/b"])
        _, changes = await follow([BOTH], [PlatformUnavailableError("reset"), gone], 0.5)
        assert ("servers/b", False) in changes


class TestChangesOfPeers:
    async def test_what_a_peer_saw_holds_until_the_store_says_more(self) -> None:
        follower, changes = await follow([BOTH], [PlatformUnavailableError("busy")], 0.05)
        follower.take_peer_changes(
            [ObjectChange("servers/a", 7, '{"leaving": 1}'), ObjectChange("servers/b", 8, None)]
        )
        assert follower.object_by_key["servers/a"].version == 7
        assert ("servers/b", False) in changes

    async def test_older_change_of_a_lagging_peer_is_ignored(self) -> None:
        follower, _ = await follow([BOTH], [PlatformUnavailableError("busy")], 0.05)
        follower.take_peer_changes([ObjectChange("servers/b", 8, None)])
        follower.take_peer_changes([ObjectChange("servers/b", 7, "{}")])
        follower.take_peer_changes([ObjectChange("servers/a", 1, None)])
        assert set(follower.object_by_key) == {"servers/a"}

    async def test_out_of_touch_asks_again_for_what_may_share_a_version(self) -> None:
        follower, _ = await follow([BOTH], [PlatformUnavailableError("busy")], 0.05)
        assert not follower.in_touch
        follower.take_peer_changes([ObjectChange("servers/b", 8, "{}")])
        assert follower.wants_changes_above == 7

    async def test_removal_that_a_peer_confirms_needs_no_grace(self) -> None:
        gone = ObjectList(9, [], ["servers/b"])
        follower, changes = await follow([BOTH], [silence(), gone], 0.3)
        assert ("servers/b", False) not in changes
        assert follower.wants_changes_above < 9
        follower.take_peer_changes([ObjectChange("servers/b", 9, None)])
        assert ("servers/b", False) in changes
        assert follower.wants_changes_above == 9

    async def test_tells_only_what_changed_above_a_revision(self) -> None:
        gone = ObjectList(6, [], ["servers/b"])
        follower, _ = await follow([BOTH], [gone], 0.1)
        assert follower.recent_changes(5) == [ObjectChange("servers/b", 6, None)]
        assert not follower.recent_changes(6)
        assert follower.wants_changes_above == 6
