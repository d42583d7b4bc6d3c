"""Releases: validation, concurrent publishers, propagation to all daemons, store outages."""

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from client_helpers import send_request
from ragwortpaddle_standins.fleet import Fleet, fetch_json, returns_ok, wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("releases"), ("dc-a", "dc-a", "dc-b")) as fleet:
        fleet.start_platform()
        for index, data_centre in enumerate(fleet.data_centres):
            fleet.start_daemon(f"entry-{index + 1}", data_centre)
        fleet.publish(Path(__file__).parent.parent / "examples" / "workshops.ini")
        for daemon in fleet.daemons:
            wait_until(lambda d=daemon: returns_ok(f"{d.url}/readyz"), "the daemon is ready")
        yield fleet


@pytest.fixture(autouse=True)
def no_faults(fleet: Fleet) -> Iterator[None]:
    yield
    fleet.platform.set_faults()


def latest_release(fleet: Fleet) -> int:
    return int(fleet.run_cli("history").split()[0])


def release_in_force(fleet: Fleet, number: int) -> bool:
    return all(fetch_json(f"{daemon.url}/status")["release"] == number for daemon in fleet.daemons)


def write_file(path: Path, text: str) -> Path:
    path.write_text(text)
    return path


class TestEdits:
    def test_conflicting_edit_reports_the_changed_values(
        self, fleet: Fleet, tmp_path: Path
    ) -> None:
        objects_text = fleet.run_cli("get", "--kind", "priority")
        first = write_file(tmp_path / "first.ini", objects_text.replace("level = 5", "level = 6"))
        second = write_file(tmp_path / "second.ini", objects_text.replace("level = 5", "level = 4"))
        fleet.run_cli("apply", first)
        output = fleet.run_cli("apply", second, expect=1)
        assert "[priority:bench] is at version" in output
        assert "level: yours '4', current '6'" in output

    def test_creating_an_existing_object_is_rejected(self, fleet: Fleet, tmp_path: Path) -> None:
        path = write_file(tmp_path / "again.ini", "[priority:board]\nlevel = 1\n")
        assert "[priority:board] is at version" in fleet.run_cli("apply", path, expect=1)


class TestPublish:
    def test_release_with_broken_references_is_not_published(
        self, fleet: Fleet, tmp_path: Path
    ) -> None:
        before = latest_release(fleet)
        path = write_file(
            tmp_path / "broken.ini",
            "[route:broken]\npool = nowhere\npriority = never\nteams = nobody, zurich\n",
        )
        fleet.run_cli("apply", path)
        output = fleet.run_cli("publish", expect=1)
        for name in ("pool = nowhere", "priority = never", "team = nobody"):
            assert name in output
        assert latest_release(fleet) == before
        version = fleet.run_cli("get", "--kind", "route").split("[route:broken]")[1].split()[2]
        fleet.run_cli("delete", "route", "broken", version)

    def test_release_is_in_force_on_all_daemons_within_5_s(self, fleet: Fleet) -> None:
        fleet.run_cli("publish")
        wait_until(
            lambda: release_in_force(fleet, latest_release(fleet)), "the release is in force", 5
        )
        assert "LAGS" not in fleet.run_cli("status")

    def test_release_spreads_despite_a_store_outage_after_publishing(self, fleet: Fleet) -> None:
        fleet.platform.set_faults(delay_ms=300)
        fleet.run_cli("publish")
        number = latest_release(fleet)
        fleet.platform.set_faults(outage=True)
        wait_until(lambda: release_in_force(fleet, number), "the release is in force", 10)

    def test_release_is_published_once_despite_a_lost_store_reply(self, fleet: Fleet) -> None:
        before = latest_release(fleet)
        fleet.platform.set_faults(lose_replies=1)
        fleet.run_cli("publish")
        assert latest_release(fleet) == before + 1

    def test_concurrent_publishers_get_distinct_consecutive_numbers(self, fleet: Fleet) -> None:
        import threading

        before = latest_release(fleet)
        outputs: list[str] = []

        def publish() -> None:
            outputs.append(fleet.run_cli("publish", expect=None))

        threads = [threading.Thread(target=publish) for _ in range(5)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        published_numbers = sorted(
            int(text.split()[1]) for text in outputs if text.startswith("release")
        )
        assert published_numbers == list(range(before + 1, before + 1 + len(published_numbers)))
        assert published_numbers
        assert all("published meanwhile" in t for t in outputs if not t.startswith("release"))


class TestRestoredStore:
    def test_release_after_the_restore_is_in_force(self, fleet: Fleet, tmp_path: Path) -> None:
        fleet.run_cli("publish")
        fetch_json(f"{fleet.platform.url}/copy", {})
        for _ in range(3):
            fleet.run_cli("publish")
        lost = latest_release(fleet)
        wait_until(lambda: release_in_force(fleet, lost), "the release is in force")
        fetch_json(f"{fleet.platform.url}/restore", {})
        fleet.run_cli("publish")
        number = latest_release(fleet)
        assert number > lost
        wait_until(lambda: release_in_force(fleet, number), "the release is in force", 5)

    def test_release_in_force_is_stored_again(self, fleet: Fleet) -> None:
        fetch_json(f"{fleet.platform.url}/copy", {})
        fleet.run_cli("publish")
        lost = latest_release(fleet)
        wait_until(lambda: release_in_force(fleet, lost), "the release is in force")
        fetch_json(f"{fleet.platform.url}/restore", {})
        wait_until(lambda: latest_release(fleet) == lost, "the release is stored again", 5)


class TestStartDuringStoreOutage:
    def test_new_daemon_adopts_the_release_of_its_peers(
        self, fleet: Fleet, new_installation: Callable[..., Fleet]
    ) -> None:
        number = latest_release(fleet)
        wait_until(lambda: release_in_force(fleet, number), "the release is in force")
        fleet.platform.set_faults(outage=True)
        peer = fleet.daemons[0]
        settings = (fleet.directory / f"{peer.name}.ini").read_text()
        seed = settings.split("peer_listen = ")[1].split()[0]
        new_daemon = fleet.start_daemon("entry-9", "dc-a", seeds=seed)
        wait_until(lambda: returns_ok(f"{new_daemon.url}/readyz"), "the new daemon is ready")
        assert fetch_json(f"{new_daemon.url}/status")["release"] == number
        assert new_daemon.terminate() == 0

    def test_daemon_without_peers_is_not_ready(self, fleet: Fleet) -> None:
        fleet.platform.set_faults(outage=True)
        isolated_daemon = fleet.start_daemon("entry-8", "dc-z")
        assert send_request(isolated_daemon, "/readyz").status == 503
        http_response = send_request(isolated_daemon, "/v1/models")
        assert (http_response.status, http_response.executed) == (503, "no")
        assert isolated_daemon.terminate() == 0
