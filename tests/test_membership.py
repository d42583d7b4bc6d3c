"""Membership: the views of all daemons converge after crashes, freezes and restarts."""

import pynng
import pytest
from ragwortpaddle_standins.fleet import Fleet, Process, fetch_json, wait_until


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path / "fleet", ("dc-a",) * 5) as fleet:
        fleet.start_platform()
        for index in range(5):
            fleet.start_daemon(f"entry-{index + 1}", "dc-a")
        wait_for_live_daemons(fleet.daemons, {daemon.name for daemon in fleet.daemons})
        yield fleet


def live_daemon_names(daemon: Process) -> set[str]:
    return set(fetch_json(f"{daemon.url}/status")["release_by_daemon"])


def wait_for_live_daemons(daemons: list[Process], names: set[str], seconds: float = 15) -> None:
    wait_until(
        lambda: all(live_daemon_names(d) == names for d in daemons),
        f"live daemons are {names} in every view",
        seconds,
    )


class TestViews:
    def test_views_converge_after_two_of_five_daemons_are_killed(self, fleet: Fleet) -> None:
        killed, remaining = fleet.daemons[:2], fleet.daemons[2:]
        for daemon in killed:
            daemon.kill()
        wait_for_live_daemons(remaining, {daemon.name for daemon in remaining})

    def test_frozen_member_is_removed_and_added_again_after_it_resumes(self, fleet: Fleet) -> None:
        frozen, others = fleet.daemons[0], fleet.daemons[1:]
        frozen.suspend()
        wait_for_live_daemons(others, {daemon.name for daemon in others})
        frozen.resume()
        wait_for_live_daemons(fleet.daemons, {daemon.name for daemon in fleet.daemons})

    def test_views_converge_after_replacing_daemons_one_by_one(self, fleet: Fleet) -> None:
        for index, daemon in enumerate(list(fleet.daemons)):
            assert daemon.terminate() == 0
            del fleet.processes[daemon.name]
            fleet.start_daemon(f"entry-1{index}", "dc-a")
        wait_for_live_daemons(fleet.daemons, {daemon.name for daemon in fleet.daemons})

    def test_restarted_member_has_a_new_incarnation(self, fleet: Fleet) -> None:
        daemon, others = fleet.daemons[0], fleet.daemons[1:]

        def incarnations() -> set[int]:
            return {
                member["incarnation"]
                for other in others
                for member in fetch_json(f"{other.url}/status")["members"]
                if member["name"] == daemon.name
            }

        before = incarnations()
        daemon.kill()
        restarted = fleet.start_daemon(daemon.name, "dc-a")
        wait_until(lambda: incarnations() and not incarnations() & before, "a new incarnation")
        wait_for_live_daemons(fleet.daemons, {d.name for d in fleet.daemons})
        assert restarted.popen.poll() is None


class TestUnauthenticatedPeers:
    def test_message_is_refused_and_counted_without_changing_views(self, fleet: Fleet) -> None:
        daemon = fleet.daemons[0]
        settings = (fleet.directory / f"{daemon.name}.ini").read_text()
        address = settings.split("peer_listen = ")[1].split()[0]
        before = fetch_json(f"{daemon.url}/status")
        with pynng.Req0(dial=f"tcp://{address}", recv_timeout=2000) as unauthenticated_client:
            unauthenticated_client.send(b"not sealed")
            assert unauthenticated_client.recv() == b"refused"
        after = fetch_json(f"{daemon.url}/status")
        assert after["peer_messages_refused"] == before["peer_messages_refused"] + 1
        assert after["release_by_daemon"] == before["release_by_daemon"]


class TestKeyRotation:
    def test_peer_keys_are_rotated_without_restart(self, fleet: Fleet) -> None:
        old = fleet.peer_key_path.read_text().strip()
        new = "second " + "c3" * 32

        def reload_count() -> int:
            return min(d.log_path.read_text().count("peer keys reloaded") for d in fleet.daemons)

        for step, text in enumerate((f"{old}\n{new}\n", f"{new}\n{old}\n", f"{new}\n"), start=1):
            fleet.peer_key_path.write_text(text)
            wait_until(
                lambda step=step: reload_count() >= step, "every daemon has reloaded the peer keys"
            )
        wait_for_live_daemons(fleet.daemons, {daemon.name for daemon in fleet.daemons})
        new_daemon = fleet.start_daemon("entry-6", "dc-a")
        wait_for_live_daemons(fleet.daemons, {daemon.name for daemon in fleet.daemons})
        assert new_daemon.popen.poll() is None
