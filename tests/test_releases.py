"""Releases: checked as a whole, won by one publisher, in force everywhere, never back."""

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from callers import send
from ragwortpaddle_standins.fleet import Fleet, answers, fetch, wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("releases"), ("dc-a", "dc-a", "dc-b")) as fleet:
        fleet.start_platform()
        for index, data_centre in enumerate(fleet.data_centres):
            fleet.start_daemon(f"entry-{index + 1}", data_centre)
        fleet.publish(Path(__file__).parent.parent / "examples" / "workshops.ini")
        for daemon in fleet.daemons:
            wait_until(lambda d=daemon: answers(f"{d.url}/readyz"), "ready")
        yield fleet


@pytest.fixture(autouse=True)
def no_faults(fleet: Fleet) -> Iterator[None]:
    yield
    fleet.platform.faults()


def release_of(fleet: Fleet) -> int:
    return int(fleet.operate("history").split()[0])


def in_force(fleet: Fleet, number: int) -> bool:
    return all(fetch(f"{daemon.url}/status")["release"] == number for daemon in fleet.daemons)


def write(path: Path, text: str) -> Path:
    path.write_text(text)
    return path


class TestEdits:
    def test_loser_of_a_race_is_told_what_changed(self, fleet: Fleet, tmp_path: Path) -> None:
        read = fleet.operate("get", "--kind", "priority")
        first = write(tmp_path / "first.ini", read.replace("level = 5", "level = 6"))
        second = write(tmp_path / "second.ini", read.replace("level = 5", "level = 4"))
        fleet.operate("apply", first)
        told = fleet.operate("apply", second, expect=1)
        assert "[priority:bench] is at version" in told
        assert "level: yours '4', current '6'" in told

    def test_new_object_does_not_replace_an_old_one(self, fleet: Fleet, tmp_path: Path) -> None:
        path = write(tmp_path / "again.ini", "[priority:board]\nlevel = 1\n")
        assert "[priority:board] is at version" in fleet.operate("apply", path, expect=1)


class TestPublish:
    def test_broken_reference_never_gets_in(self, fleet: Fleet, tmp_path: Path) -> None:
        before = release_of(fleet)
        path = write(
            tmp_path / "broken.ini",
            "[route:broken]\npool = nowhere\npriority = never\nteams = nobody, zurich\n",
        )
        fleet.operate("apply", path)
        told = fleet.operate("publish", expect=1)
        for name in ("pool = nowhere", "priority = never", "team = nobody"):
            assert name in told
        assert release_of(fleet) == before
        version = fleet.operate("get", "--kind", "route").split("[route:broken]")[1].split()[2]
        fleet.operate("delete", "route", "broken", version)

    def test_is_in_force_everywhere_within_seconds(self, fleet: Fleet) -> None:
        fleet.operate("publish")
        wait_until(lambda: in_force(fleet, release_of(fleet)), "in force", 5)
        assert "LAGS" not in fleet.operate("status")

    def test_outage_right_after_does_not_stop_it(self, fleet: Fleet) -> None:
        fleet.platform.faults(delay_ms=300)
        fleet.operate("publish")
        number = release_of(fleet)
        fleet.platform.faults(outage=True)
        wait_until(lambda: in_force(fleet, number), "in force", 10)

    def test_lost_reply_is_settled(self, fleet: Fleet) -> None:
        before = release_of(fleet)
        fleet.platform.faults(lose_replies=1)
        fleet.operate("publish")
        assert release_of(fleet) == before + 1

    def test_racing_publishers_get_one_number_each(self, fleet: Fleet) -> None:
        import threading

        before = release_of(fleet)
        printed: list[str] = []

        def publish() -> None:
            printed.append(fleet.operate("publish", expect=None))

        threads = [threading.Thread(target=publish) for _ in range(5)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = sorted(int(text.split()[1]) for text in printed if text.startswith("release"))
        assert won == list(range(before + 1, before + 1 + len(won)))
        assert won
        assert all("published meanwhile" in t for t in printed if not t.startswith("release"))


class TestStartDuringOutage:
    def test_takes_the_highest_release_of_its_peers(
        self, fleet: Fleet, new_installation: Callable[..., Fleet]
    ) -> None:
        number = release_of(fleet)
        wait_until(lambda: in_force(fleet, number), "in force")
        fleet.platform.faults(outage=True)
        peer = fleet.daemons[0]
        settings = (fleet.directory / f"{peer.name}.ini").read_text()
        seed = settings.split("peer_listen = ")[1].split()[0]
        late = fleet.start_daemon("entry-9", "dc-a", seeds=seed)
        wait_until(lambda: answers(f"{late.url}/readyz"), "ready")
        assert fetch(f"{late.url}/status")["release"] == number
        assert late.terminate() == 0

    def test_is_not_ready_without_any(self, fleet: Fleet) -> None:
        fleet.platform.faults(outage=True)
        alone = fleet.start_daemon("entry-8", "dc-z")
        assert send(alone, "/readyz").status == 503
        reply = send(alone, "/v1/models")
        assert (reply.status, reply.executed) == (503, "no")
        assert alone.terminate() == 0
