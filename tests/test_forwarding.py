"""Requests that a daemon without links to the endpoints sends through a peer."""

import asyncio
import logging
import time
from collections.abc import AsyncIterator
from types import SimpleNamespace

import pytest
from ragwortpaddle_standins.relay_platform import EVENT_STREAM, attempt_id_of, configuration
from ragwortpaddled.coordination._endpoint_client import Response
from ragwortpaddled.coordination._forwarding import forwarding_headers
from ragwortpaddled.coordination._relayed_request import RelayedRequest
from ragwortpaddled.errors import ReplyLostError
from ragwortpaddled.relay import RelayDaemon
from ragwortpaddled.transport import (
    Http1Connection,
    Http1Pool,
    KeyRing,
    ResponseHead,
    ServerRequest,
)
from relay_fleet import RelayFleet, RelayTestBed

FORWARDED = "request forwarded for a peer"


class Fleet(RelayFleet):
    """Three daemons, the first of which takes its links to the endpoints for lost."""

    @property
    def cut(self) -> RelayDaemon:
        return self.daemons[0]

    @property
    def endpoints(self) -> list:
        return [*self.testbed.engines, *self.testbed.desks]

    def received(self, attempt: bytes) -> list[ServerRequest]:
        """Return the requests of an attempt that endpoints received."""
        return [
            request
            for endpoint in self.endpoints
            for request in endpoint.received_requests
            if attempt_id_of(request) == attempt.decode()
        ]


def take_links_for_lost(daemon: RelayDaemon) -> None:
    daemon._reach_monitor._reach.cut = True


def forwarded_ids(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [r.request_id for r in caplog.records if r.getMessage() == FORWARDED]


@pytest.fixture
async def fleet(tmp_path, caplog) -> AsyncIterator[Fleet]:
    caplog.set_level(logging.INFO, "ragwortpaddled")
    async with Fleet(RelayTestBed(tmp_path)) as fleet:
        peers = fleet.cut._forwarding_peers
        await fleet.testbed.wait(lambda: len(peers.candidates()) == 2, "peers that forward")
        take_links_for_lost(fleet.cut)
        yield fleet


class TestForwardedRequest:
    @pytest.mark.parametrize("path", [b"/ask/1", b"/once/1"])
    async def test_stream_is_complete_and_runs_once(self, fleet: Fleet, caplog, path) -> None:
        head, body = await fleet.testbed.ask(b"POST", path)
        assert (head.status, body) == (200, EVENT_STREAM)
        assert len(fleet.received(b"a1")) == 1
        assert forwarded_ids(caplog) == ["a1"]

    @pytest.mark.parametrize("path", [b"/look/7?x=1", b"/book/7?x=1"])
    async def test_endpoint_gets_what_the_first_daemon_sends(self, fleet: Fleet, path) -> None:
        head, body = await fleet.testbed.ask(b"GET", path, x_other=b"kept", forward_to=b"forged")
        [request] = fleet.received(b"a1")
        assert (head.status, body) == (200, b"answer of " + request.header(b"x-expect-replica"))
        assert request.target == path
        assert request.header(b"x-other") == b"kept"
        assert request.header(b"x-tenant") == b"bench-team"
        assert request.header(b"x-key") is None
        assert int(request.header(b"x-deadline-ms")) <= 4000
        assert not [name for name, _ in request.headers if name.lower().startswith(b"forward-")]
        assert not [name for name, _ in head.headers if name.lower().startswith(b"forward-")]

    async def test_caller_disconnect_cancels_the_work_at_the_engine(self, fleet: Fleet) -> None:
        for engine in fleet.testbed.engines:
            engine.event_count = 10_000
        connection = await fleet.testbed.send(b"POST", b"/ask/1")
        await connection.read_head()
        connection.close()
        await fleet.testbed.wait(
            lambda: not any(e.running for e in fleet.testbed.engines), "end of the work"
        )

    async def test_stream_that_breaks_off_is_resumed(self, fleet: Fleet) -> None:
        for engine in fleet.testbed.engines:
            engine.fault = "torn"

        def end_fault_after_a_run() -> bool:
            if not fleet.received(b"a1"):
                return False
            for engine in fleet.testbed.engines:
                engine.fault = ""
            return True

        asking = asyncio.create_task(fleet.testbed.ask(b"POST", b"/ask/1"))
        await fleet.testbed.wait(end_fault_after_a_run, "a run")
        head, body = await asking
        assert (head.status, body) == (200, EVENT_STREAM)

    async def test_lost_response_of_an_unsafe_request_is_not_called_not_run(
        self, fleet: Fleet
    ) -> None:
        for desk in fleet.testbed.desks:
            desk.fault = "answer lost"
        head, _ = await fleet.testbed.ask(b"POST", b"/book/1")
        assert head.status == 502
        assert len(fleet.received(b"a1")) == 1

    @pytest.mark.parametrize("fault", ["unframed torn", "unframed empty"])
    async def test_stream_that_ends_with_its_connection_is_not_taken_for_complete(
        self, fleet: Fleet, fault: str
    ) -> None:
        for engine in fleet.testbed.engines:
            engine.fault = fault
        try:
            head, body = await fleet.testbed.ask(b"POST", b"/ask/1")
        except ReplyLostError:
            return
        assert head.status == 502, body

    async def test_stream_without_length_or_chunks_is_complete(self, fleet: Fleet) -> None:
        for engine in fleet.testbed.engines:
            engine.fault = "unframed"
        head, body = await fleet.testbed.ask(b"POST", b"/ask/1")
        assert (head.status, body) == (200, EVENT_STREAM)


class TestResultHeader:
    async def test_endpoint_that_sends_it_itself_is_not_believed(self, fleet: Fleet) -> None:
        """An unsafe request ran, was called not sent and ran again."""
        fleet.cut._reach_monitor._reach.cut = False
        for desk in fleet.testbed.desks:

            async def handle(request, responder, desk=desk) -> None:
                desk._record_request(request)
                headers = [(b"Forward-Result", b"not-sent"), *desk._response_headers(request)]
                await responder.send(502, headers, b"")

            desk._server.handler = handle
        head, _ = await fleet.testbed.ask(b"POST", b"/book/1")
        assert head.status == 502
        assert len(fleet.received(b"a1")) == 1


class TestPeersThatCannotForward:
    async def test_daemon_without_a_peer_key_refuses(self, fleet: Fleet) -> None:
        """Signing raised an unexpected error, and the caller got 500."""
        fleet.cut._peers._keys._key_by_id.clear()
        for peer in fleet.cut._forwarding_peers.candidates():
            fleet.cut._forwarding_peers.remove(peer.name)
        head, _ = await fleet.testbed.ask(b"GET", b"/look/1")
        assert head.status == 503

    async def test_peer_that_dies_within_a_stream_is_not_its_engines_failure(
        self, fleet: Fleet
    ) -> None:
        for engine in fleet.testbed.engines:
            engine.event_interval_seconds = 0.1
        connection = await fleet.testbed.send(b"POST", b"/ask/1")
        await connection.read_head()
        for daemon in fleet.daemons[1:]:
            daemon._forward_server.abort("injected fault")
        assert await connection.read_body() == EVENT_STREAM
        loads = fleet.cut._relay_directory.loads
        now = time.monotonic()
        assert not [id_ for id_, load in loads.load_by_id.items() if load.suspect(now)]

    async def test_peer_that_lost_its_links_too_is_passed_over(self, fleet: Fleet, caplog) -> None:
        take_links_for_lost(fleet.daemons[1])
        for number in range(6):
            head, _ = await fleet.testbed.ask(b"GET", b"/look/1", b"n%d" % number)
            assert head.status == 200
            assert len(fleet.received(b"n%d" % number)) == 1

    async def test_request_is_refused_at_once_if_no_peer_has_links(self, fleet: Fleet) -> None:
        for daemon in fleet.daemons:
            take_links_for_lost(daemon)
        for path in (b"/ask/1", b"/look/1", b"/book/1"):
            started_at = time.monotonic()
            head, _ = await fleet.testbed.ask(b"POST", path)
            assert head.status == 503
            assert float(head.header(b"retry-after")) > 0
            assert time.monotonic() - started_at < 1.0
        assert not fleet.received(b"a1")

    async def test_daemon_that_no_peer_forwards_for_is_not_ready(self, fleet: Fleet) -> None:
        assert await ready_status(fleet.cut) == 200
        for daemon in fleet.daemons[1:]:
            take_links_for_lost(daemon)
        peers = fleet.cut._forwarding_peers
        await fleet.testbed.wait(lambda: not peers.candidates(), "news of the peers' links")
        assert await ready_status(fleet.cut) == 503

    async def test_endpoint_that_the_peer_knows_as_leaving_gets_nothing(self, fleet: Fleet) -> None:
        leaving, other = fleet.testbed.desks
        for daemon in fleet.daemons[1:]:
            entry = daemon._relay_directory.entry_by_id.pop(leaving.id)
            del daemon._relay_directory._id_by_address[entry.address]
        for number in range(6):
            head, _ = await fleet.testbed.ask(b"GET", b"/look/1", b"n%d" % number)
            assert head.status == 200
        assert not leaving.received_requests
        assert len(other.received_requests) == 6

    async def test_forwarded_stream_is_completed_before_the_peer_stops(self, fleet: Fleet) -> None:
        for engine in fleet.testbed.engines:
            engine.event_interval_seconds = 0.1
        connection = await fleet.testbed.send(b"POST", b"/once/1")
        await connection.read_head()
        stopping = [asyncio.create_task(daemon.shutdown()) for daemon in fleet.daemons[1:]]
        assert await connection.read_body() == EVENT_STREAM
        await asyncio.gather(*stopping)
        del fleet.daemons[1:]


class TestPeerThatStops:
    """A peer gets SIGTERM: it refuses what is new, and ends what it has taken with a true failure.

    It reset what was left at the end, so a request that no endpoint had received was taken for one
    that may have run.
    """

    async def send_to_peer(self, fleet: Fleet, path: bytes, attempt: bytes) -> Http1Connection:
        """Send a signed request to the second daemon, to forward it to a desk."""
        connection = await Http1Pool().acquire(fleet.daemons[1]._forward_server.address, fresh=True)
        keys = fleet.cut._peers._keys
        headers = forwarding_headers(keys, fleet.testbed.desks[0].address, fresh=True)
        sent = [(b"Host", b"desk.example"), (b"X-Attempt-Id", attempt), *headers]
        await connection.send(b"GET", path, sent, b"")
        return connection

    def try_second_daemon_first(self, fleet: Fleet) -> None:
        by_name = SimpleNamespace(shuffle=lambda peers: peers.sort(key=lambda peer: peer.name))
        fleet.cut._forwarding_peers._random = by_name

    async def stop_peer(self, fleet: Fleet) -> asyncio.Task[None]:
        stopping = asyncio.create_task(fleet.daemons[1].shutdown())
        await asyncio.sleep(0)
        return stopping

    async def finish(self, fleet: Fleet, stopping: asyncio.Task[None]) -> None:
        await stopping
        del fleet.daemons[1]

    async def test_new_request_is_refused_as_not_sent(self, fleet: Fleet) -> None:
        stopping = await self.stop_peer(fleet)
        connection = await self.send_to_peer(fleet, b"/look/1", b"a1")
        head = await connection.read_head()
        assert (head.status, head.header(b"forward-result")) == (502, b"unavailable")
        assert head.header(b"connection") == b"close"
        assert not fleet.received(b"a1")
        await self.finish(fleet, stopping)

    async def test_request_that_was_sent_on_ends_as_lost(self, fleet: Fleet, caplog) -> None:
        for desk in fleet.testbed.desks:
            desk.fault = "hang"
        connection = await self.send_to_peer(fleet, b"/book/1", b"a1")
        await fleet.testbed.wait(lambda: fleet.received(b"a1"), "execution")
        stopping = await self.stop_peer(fleet)
        head = await connection.read_head()
        assert (head.status, head.header(b"forward-result")) == (502, b"lost")
        await self.finish(fleet, stopping)
        [line] = [r for r in caplog.records if r.getMessage() == FORWARDED]
        assert line.fields["result"] == "ended: end of the grace period"

    async def test_unsafe_request_that_was_not_sent_on_runs_through_another_peer(
        self, fleet: Fleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Its caller got 502, although no endpoint had received it."""
        connecting = asyncio.Event()
        pool = fleet.daemons[1]._forwarder._connections

        async def connect_without_end(*_: object, **__: object) -> None:
            connecting.set()
            await asyncio.Event().wait()

        monkeypatch.setattr(pool, "acquire", connect_without_end)
        self.try_second_daemon_first(fleet)
        asking = asyncio.create_task(fleet.testbed.ask(b"POST", b"/book/1"))
        await connecting.wait()
        stopping = await self.stop_peer(fleet)
        head, _ = await asking
        assert head.status == 200
        assert len(fleet.received(b"a1")) == 1
        await self.finish(fleet, stopping)

    async def test_stream_that_may_be_resumed_goes_on_through_another_peer(
        self, fleet: Fleet
    ) -> None:
        testbed = fleet.testbed
        routes = [dict(route, timeoutMs=20000) for route in configuration()["routes"]]
        testbed.store.put("config", "main", configuration(2, routes=routes))
        await testbed.wait(lambda: fleet.cut._relay_directory.config.version == 2, "configuration")
        self.try_second_daemon_first(fleet)
        for engine in testbed.engines:
            engine.event_interval_seconds = 0.6  # the stream takes longer than the grace period
        connection = await testbed.send(b"POST", b"/ask/1", deadline=b"20000")
        await connection.read_head()
        stopping = await self.stop_peer(fleet)
        assert await connection.read_body() == EVENT_STREAM
        assert len(fleet.received(b"a1")) == 2
        await self.finish(fleet, stopping)


class TestChangeWhileForwarding:
    """What a peer has taken goes on when a configuration or an entry goes away."""

    @pytest.mark.parametrize("path", [b"/ask/1", b"/once/1"])
    @pytest.mark.parametrize("change", ["routes", "endpoints"])
    async def test_forwarded_stream_is_complete(self, fleet: Fleet, path, change) -> None:
        testbed = fleet.testbed
        for engine in testbed.engines:
            engine.event_interval_seconds = 0.2
        connection = await testbed.send(b"POST", path)
        await connection.read_head()
        if change == "routes":
            testbed.store.put("config", "main", configuration(2, routes=[], services=[]))
            await testbed.wait(
                lambda: all(d._relay_directory.config.version == 2 for d in fleet.daemons),
                "configuration",
            )
        else:
            for engine in testbed.engines:
                engine.remove()
            await testbed.wait(
                lambda: not any(
                    d._relay_directory.endpoints_in_pool("model") for d in fleet.daemons
                ),
                "removal of the entries",
            )
        assert await connection.read_body() == EVENT_STREAM
        assert len(fleet.received(b"a1")) == 1


class TestPeerThatFailsItself:
    """An error of the peer was taken for the endpoint's response."""

    @pytest.mark.parametrize(("method", "path"), [(b"GET", b"/look/1"), (b"POST", b"/book/1")])
    async def test_its_error_is_not_passed_on(
        self, fleet: Fleet, monkeypatch: pytest.MonkeyPatch, method: bytes, path: bytes
    ) -> None:
        async def fail(*_: object) -> str:
            raise RuntimeError("injected fault")

        for daemon in fleet.daemons[1:]:
            monkeypatch.setattr(daemon._forwarder, "_forward", fail)
        head, body = await fleet.testbed.ask(method, path)
        assert head.status == 502
        assert b"internal error" not in body

    async def test_long_headers_of_a_caller_reach_the_endpoint(self, fleet: Fleet) -> None:
        limits = fleet.cut._caller_limits()
        value = b"v" * (limits.max_header_bytes - 600)
        head, _ = await fleet.testbed.ask(b"GET", b"/look/1", x_other=value)
        assert head.status == 200


class TestForwardingPort:
    async def ask(self, daemon: RelayDaemon, headers: list[tuple[bytes, bytes]]) -> ResponseHead:
        connection = await Http1Pool().acquire(daemon._forward_server.address, fresh=True)
        sent = [(b"Host", b"desk.example"), (b"X-Attempt-Id", b"a1"), *headers]
        await connection.send(b"GET", b"/look/1", sent, b"")
        return await connection.read_head()

    async def test_unsigned_request_is_refused(self, fleet: Fleet) -> None:
        address = fleet.testbed.desks[0].address.encode()
        assert (await self.ask(fleet.daemons[1], [(b"Forward-To", address)])).status == 403
        assert (await self.ask(fleet.daemons[1], [])).status == 403
        assert not fleet.received(b"a1")

    async def test_request_with_a_foreign_key_is_refused(self, fleet: Fleet) -> None:
        keys = KeyRing()
        keys.load("aa " + "00" * 32)
        headers = forwarding_headers(keys, fleet.testbed.desks[0].address, fresh=True)
        assert (await self.ask(fleet.daemons[1], headers)).status == 403

    async def test_signature_for_another_endpoint_is_refused(self, fleet: Fleet) -> None:
        desks = fleet.testbed.desks
        keys = fleet.cut._peers._keys
        headers = forwarding_headers(keys, desks[0].address, fresh=True)
        headers[0] = (b"Forward-To", desks[1].address.encode())
        assert (await self.ask(fleet.daemons[1], headers)).status == 403

    async def test_address_of_no_endpoint_is_not_connected(self, fleet: Fleet) -> None:
        keys = fleet.cut._peers._keys
        headers = forwarding_headers(keys, fleet.testbed.store.address, fresh=True)
        head = await self.ask(fleet.daemons[1], headers)
        assert head.status == 502
        assert head.header(b"forward-result") == b"not-sent"


async def ready_status(daemon: RelayDaemon) -> int:
    connection = await Http1Pool().acquire(daemon.ready_address, fresh=True)
    await connection.send(b"GET", b"/api/readyz", [(b"Host", b"vm")], b"")
    return (await connection.read_head()).status


class TestCancelledRequest:
    async def test_response_that_arrives_in_that_moment_is_closed(self, fleet: Fleet) -> None:
        """The endpoint went on working for a caller that had left."""
        closed = []

        class ArrivingResponse(Response):
            def __init__(self) -> None:
                pass

            def close(self) -> None:
                closed.append(True)

        request = object.__new__(RelayedRequest)
        request.reach_monitor = fleet.daemons[1]._reach_monitor
        target = SimpleNamespace(peer="")
        arrival = asyncio.get_running_loop().create_future()

        async def arrive() -> Response:
            await arrival
            asyncio.get_running_loop().call_soon(waiting.cancel)
            return ArrivingResponse()

        waiting = asyncio.create_task(request._await_unless_replaced(arrive(), 5.0, target, None))
        await asyncio.sleep(0.01)
        arrival.set_result(None)
        await asyncio.wait([waiting])
        assert closed or not waiting.cancelled()
