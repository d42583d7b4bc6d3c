"""Request limits that endpoints name, respected by several relay daemons together."""

import asyncio
import time
from collections.abc import AsyncIterator, Sequence

import pytest
from ragwortpaddle_standins.relay_platform import Endpoint
from relay_fleet import RelayFleet, RelayTestBed

CONTACT_SECONDS = 3.0  # the platform's limit for respecting a new request limit
WINDOW_SECONDS = 4.0
REQUEST_INTERVAL_SECONDS = 0.02
LIMIT = 4.0


def max_received(endpoint: Endpoint, after: float) -> int:
    """Return the most requests that an endpoint received in a window after a time."""
    times = [at for at in endpoint.received_at if at > after]
    return max((sum(t <= at < t + WINDOW_SECONDS for at in times) for t in times), default=0)


def allowed(limit: float) -> float:
    """Return the platform's bound for the requests of one window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


class Fleet(RelayFleet):
    """Sends requests at a fixed interval."""

    async def ask(self, method: bytes, path: bytes, number: int) -> int:
        daemon = self.daemon_for(number)
        head, _ = await self.testbed.ask(method, path, b"n%d" % number, daemon=daemon)
        return head.status

    async def send_requests(
        self, seconds: float, path: bytes, method: bytes = b"GET"
    ) -> Sequence[int]:
        """Send requests at a fixed interval; return the statuses of the responses."""
        tasks = []
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            tasks.append(asyncio.create_task(self.ask(method, path, len(tasks))))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        return await asyncio.gather(*tasks)


@pytest.fixture
async def fleet(tmp_path) -> AsyncIterator[Fleet]:
    async with Fleet(RelayTestBed(tmp_path)) as fleet:
        yield fleet


class TestLimitOfAnEndpoint:
    async def test_daemons_together_respect_the_limit(self, fleet: Fleet) -> None:
        """The daemons went on sending as many requests as before."""
        limited, other = fleet.testbed.desks
        limited.requests_per_second = LIMIT
        started_at = time.monotonic()
        statuses = await fleet.send_requests(CONTACT_SECONDS + WINDOW_SECONDS + 1.0, b"/look/1")
        assert max_received(limited, started_at + CONTACT_SECONDS) <= allowed(LIMIT)
        assert set(statuses) == {200}
        assert other.received_requests

    async def test_limit_ends_when_the_endpoint_no_longer_names_it(self, fleet: Fleet) -> None:
        limited = fleet.testbed.desks[0]
        limited.requests_per_second = LIMIT
        await fleet.send_requests(1.0, b"/look/1")
        limited.requests_per_second = None
        await fleet.send_requests(1.5, b"/look/1")
        started_at = time.monotonic()
        await fleet.send_requests(1.0, b"/look/1")
        assert max_received(limited, started_at) > LIMIT * 2

    async def test_daemon_that_has_just_started_respects_the_limit(self, fleet: Fleet) -> None:
        """It learns the limit from its peers and not only from the endpoint."""
        limited = fleet.testbed.desks[0]
        limited.requests_per_second = LIMIT
        await fleet.send_requests(CONTACT_SECONDS, b"/look/1")
        testbed = fleet.testbed
        daemon = await testbed.start_daemon("entry-4", testbed.store.address)
        await testbed.wait(lambda: daemon.reachable_peers, "peers")
        fleet.daemons.append(daemon)
        started_at = time.monotonic()
        await fleet.send_requests(WINDOW_SECONDS, b"/look/1")
        assert max_received(limited, started_at) <= allowed(LIMIT)

    async def test_limit_of_the_first_engine_of_a_path_is_respected(self, fleet: Fleet) -> None:
        head, _ = await fleet.testbed.ask(b"POST", b"/ask/1")
        assert head.status == 200
        limited = next(e for e in fleet.testbed.engines if e.received_requests)
        limited.requests_per_second = LIMIT
        started_at = time.monotonic()
        statuses = await fleet.send_requests(
            CONTACT_SECONDS + WINDOW_SECONDS, b"/ask/1", method=b"POST"
        )
        assert max_received(limited, started_at + CONTACT_SECONDS) <= allowed(LIMIT)
        assert set(statuses) == {200}

    async def test_requests_above_the_limits_of_all_endpoints_are_refused_unrun(
        self, fleet: Fleet
    ) -> None:
        for desk in fleet.testbed.desks:
            desk.requests_per_second = LIMIT
        started_at = time.monotonic()
        statuses = await fleet.send_requests(CONTACT_SECONDS + WINDOW_SECONDS, b"/book/1", b"POST")
        for desk in fleet.testbed.desks:
            assert max_received(desk, started_at + CONTACT_SECONDS) <= allowed(LIMIT)
        received = sum(len(desk.received_requests) for desk in fleet.testbed.desks)
        assert set(statuses) == {200, 503}
        assert statuses.count(200) == received
