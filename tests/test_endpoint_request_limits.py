"""Request limits that endpoints name, respected by several relay daemons together."""

import asyncio
import time
from collections.abc import AsyncIterator, Sequence

import pytest
from ragwortpaddle_standins.relay_platform import Endpoint
from ragwortpaddled.relay import RelayDaemon
from relay_fleet import RelayTestBed

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


class Fleet:
    """Three daemons on one test bed, and requests that go to each of them in turn."""

    def __init__(self, testbed: RelayTestBed, daemons: list[RelayDaemon]) -> None:
        self.testbed = testbed
        self.daemons = daemons

    async def ask(self, method: bytes, path: bytes, number: int) -> int:
        daemon = self.daemons[number % len(self.daemons)]
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
    testbed = RelayTestBed(tmp_path)
    await testbed.start()
    others = [await testbed.start_daemon(f"entry-{i}", testbed.store.address) for i in (2, 3)]
    await testbed.wait(lambda: all(daemon.reachable_peers for daemon in others), "peers")
    yield Fleet(testbed, [testbed.daemon, *others])
    for daemon in others:
        await daemon.shutdown()
    await testbed.stop()


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
