"""What a daemon concludes from endpoints that it cannot reach."""

import asyncio
import random
import time

import pytest
from ragwortpaddled.coordination import ReachMonitor
from ragwortpaddled.errors import NotSentError
from ragwortpaddled.protocol import EndpointEntry
from ragwortpaddled.state import EndpointLoads, EndpointReach, ForwardingPeer, ForwardingPeers


class TestEndpointReach:
    def test_several_unreachable_endpoints_show_lost_links(self) -> None:
        reach = EndpointReach()
        assert reach.record_probes({"a": False, "b": False})
        assert reach.cut

    def test_single_unreachable_endpoint_shows_nothing(self) -> None:
        reach = EndpointReach()
        assert not reach.record_probes({"a": False})
        assert not reach.cut

    def test_one_connection_shows_working_links(self) -> None:
        reach = EndpointReach()
        assert not reach.record_probes({"a": False, "b": False, "c": True})
        reach.record_probes({"a": False, "b": False})
        assert reach.record_probes({"a": False, "c": True})
        assert not reach.cut

    def test_no_probe_changes_nothing(self) -> None:
        reach = EndpointReach()
        reach.record_probes({"a": False, "b": False})
        assert not reach.record_probes({})
        assert reach.cut


class TestForwardingPeers:
    @pytest.fixture
    def peers(self) -> ForwardingPeers:
        peers = ForwardingPeers("dc-a", random.Random(1))
        for name, data_centre in (("near-1", "dc-a"), ("far", "dc-b"), ("near-2", "dc-a")):
            peers.add(ForwardingPeer(name, f"{name}:1", data_centre))
        return peers

    def names(self, peers: ForwardingPeers) -> list[str]:
        return [peer.name for peer in peers.candidates()]

    def test_one_peer_of_the_own_data_centre_comes_first_and_then_those_of_others(
        self, peers: ForwardingPeers
    ) -> None:
        """A request tried three peers of a data centre that had lost its links as a whole."""
        for _ in range(10):
            assert self.names(peers)[0] in ("near-1", "near-2")
            assert self.names(peers)[1] == "far"

    def test_load_is_spread_within_a_data_centre(self, peers: ForwardingPeers) -> None:
        assert {self.names(peers)[0] for _ in range(50)} == {"near-1", "near-2"}

    def test_peer_without_links_is_skipped_until_it_has_them_again(
        self, peers: ForwardingPeers
    ) -> None:
        peers.set_available("near-1", False)
        assert set(self.names(peers)) == {"near-2", "far"}
        peers.set_available("near-1", True)
        assert len(self.names(peers)) == 3

    def test_peer_that_refused_is_skipped(self, peers: ForwardingPeers) -> None:
        peers.record_refusal("near-2")
        assert set(self.names(peers)) == {"near-1", "far"}

    def test_removed_peer_is_forgotten(self, peers: ForwardingPeers) -> None:
        peers.set_available("far", False)
        peers.remove("far")
        peers.add(ForwardingPeer("far", "far:2", "dc-b"))
        assert "far" in self.names(peers)


class _Connection:
    def close(self) -> None:
        pass


class _Connections:
    """A pool whose connections succeed only to some addresses; ``refusing`` ones refuse them."""

    def __init__(self, reachable: set[str]) -> None:
        self.reachable = reachable
        self.refusing: set[str] = set()

    async def acquire(self, address: str, *, fresh: bool = False) -> _Connection:
        await asyncio.sleep(0)
        if address in self.refusing:
            raise NotSentError(address) from ConnectionRefusedError()
        if address not in self.reachable:
            raise NotSentError(address)
        return _Connection()

    def close(self) -> None:
        pass


class _Directory:
    def __init__(self, count: int) -> None:
        self.loads = EndpointLoads()
        self.entry_by_id = {
            f"e{i}": EndpointEntry(f"e{i}", "pool", f"address-{i}", "dc-a", 6, leaving=False)
            for i in range(count)
        }


@pytest.fixture
def directory() -> _Directory:
    return _Directory(6)


def new_monitor(
    directory: _Directory, reachable: set[str], peer_answer: bool | None
) -> ReachMonitor:
    monitor = ReachMonitor(directory, _Connections(reachable), random.Random(1))  # type: ignore

    async def ask_peer(address: str, unreachable_seconds: float) -> bool | None:
        return peer_answer

    monitor.set_peer_probe(ask_peer)
    return monitor


class TestReachMonitor:
    ALL = frozenset(f"address-{i}" for i in range(6))

    async def wait_for_check(self, monitor: ReachMonitor) -> None:
        await asyncio.gather(*monitor._verify_task_by_id.values())

    async def test_lost_links_are_no_failure_of_an_endpoint(self, directory: _Directory) -> None:
        monitor = new_monitor(directory, set(), peer_answer=False)
        directory.loads.record_failure("e1")
        monitor.check_endpoint(directory.entry_by_id["e0"])
        await self.wait_for_check(monitor)
        assert monitor.cut
        assert not directory.loads.own_suspect_ids()
        assert not directory.loads.get("e1").suspect(0.0)

    async def test_endpoint_that_no_peer_reaches_either_is_lost(
        self, directory: _Directory
    ) -> None:
        monitor = new_monitor(directory, self.ALL - {"address-0"}, peer_answer=False)
        monitor.check_endpoint(directory.entry_by_id["e0"])
        await self.wait_for_check(monitor)
        assert not monitor.cut
        assert directory.loads.own_suspect_ids() == ["e0"]

    @pytest.mark.parametrize("peer_answer", [True, None])
    async def test_endpoint_is_not_lost_on_the_own_evidence_alone(
        self, directory: _Directory, peer_answer: bool | None
    ) -> None:
        monitor = new_monitor(directory, self.ALL - {"address-0"}, peer_answer)
        monitor.check_endpoint(directory.entry_by_id["e0"])
        await self.wait_for_check(monitor)
        assert not directory.loads.own_suspect_ids()

    async def test_endpoint_that_is_silent_for_a_moment_is_not_lost(
        self, directory: _Directory
    ) -> None:
        reachable = self.ALL - {"address-0"}
        monitor = new_monitor(directory, reachable, peer_answer=False)
        monitor.check_endpoint(directory.entry_by_id["e0"])
        await asyncio.sleep(0.1)
        monitor._connections.reachable = self.ALL
        await self.wait_for_check(monitor)
        assert not directory.loads.own_suspect_ids()

    async def test_named_engine_that_refuses_connections_is_lost_at_once(
        self, directory: _Directory
    ) -> None:
        monitor = new_monitor(directory, self.ALL - {"address-0"}, peer_answer=False)
        monitor._connections.refusing = {"address-0"}
        monitor.check_named_engine("e0", full=False)
        async with asyncio.timeout(1):
            await self.wait_for_check(monitor)
        assert directory.loads.own_suspect_ids() == ["e0"]

    @pytest.mark.parametrize("refuses", [True, False])
    async def test_named_engine_that_a_peer_reaches_is_not_lost(
        self, directory: _Directory, refuses: bool
    ) -> None:
        monitor = new_monitor(directory, self.ALL - {"address-0"}, peer_answer=True)
        monitor._connections.refusing = {"address-0"} if refuses else set()
        monitor.check_named_engine("e0", full=False)
        await self.wait_for_check(monitor)
        assert not directory.loads.own_suspect_ids()

    async def test_named_engine_that_is_silent_for_a_moment_is_not_lost(
        self, directory: _Directory
    ) -> None:
        monitor = new_monitor(directory, self.ALL - {"address-0"}, peer_answer=False)
        monitor.check_named_engine("e0", full=False)
        await asyncio.sleep(0.1)
        monitor._connections.reachable = self.ALL
        await self.wait_for_check(monitor)
        assert not directory.loads.own_suspect_ids()

    async def test_reachable_engine_that_refused_late_is_used_again_soon(
        self, directory: _Directory
    ) -> None:
        monitor = new_monitor(directory, set(self.ALL), peer_answer=None)
        directory.loads.record_unreachable("e0")
        monitor.check_named_engine("e0", full=True)
        await self.wait_for_check(monitor)
        assert not directory.loads.get("e0").suspect(time.monotonic() + 0.2)

    async def test_return_of_the_links_is_noticed_without_requests(
        self, directory: _Directory
    ) -> None:
        monitor = new_monitor(directory, set(), peer_answer=None)
        task = asyncio.create_task(monitor.run())
        assert await monitor.check_links("address-0")
        monitor._connections.reachable = self.ALL
        async with asyncio.timeout(5):
            while monitor.cut:
                await asyncio.sleep(0.01)
        task.cancel()

    @pytest.mark.parametrize("peer_answer", [True, False, None])
    async def test_daemon_without_links_takes_its_peers_word_for_a_crash(
        self, directory: _Directory, peer_answer: bool | None
    ) -> None:
        monitor = new_monitor(directory, set(), peer_answer)
        assert await monitor.accepts_connections(directory.entry_by_id["e0"]) is peer_answer

    async def test_daemon_without_links_answers_no_probe_of_a_peer(
        self, directory: _Directory
    ) -> None:
        monitor = new_monitor(directory, set(), peer_answer=None)
        directory.entry_at = lambda address: directory.entry_by_id["e0"]  # type: ignore
        assert await monitor.probe("address-0", 2.0) is None


class TestSilenceOfAllStreams:
    async def test_lost_links_are_noticed_before_a_request_fails(
        self, directory: _Directory
    ) -> None:
        monitor = new_monitor(directory, set(), peer_answer=None)
        task = asyncio.create_task(monitor.run())
        for address in ("address-0", "address-1"):
            monitor.record_stream_opened(address)
        async with asyncio.timeout(5):
            while not monitor.cut:
                await asyncio.sleep(0.01)
        task.cancel()

    async def test_silence_of_one_endpoint_shows_nothing(self, directory: _Directory) -> None:
        monitor = new_monitor(directory, set(), peer_answer=None)
        for _ in range(2):
            monitor.record_stream_opened("address-0")
        assert not monitor._all_streams_silent()

    async def test_ended_streams_are_not_waited_for(self, directory: _Directory) -> None:
        monitor = new_monitor(directory, set(), peer_answer=None)
        for address in ("address-0", "address-1"):
            monitor.record_stream_opened(address)
            monitor.record_stream_closed(address)
        assert not monitor._all_streams_silent()
