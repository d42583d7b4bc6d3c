"""Callers with persistent connections, and the records of their requests."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

from ragwortpaddle_standins.relay_platform import caller_headers
from ragwortpaddled.errors import NotSentError, ReplyLostError
from ragwortpaddled.transport import Http1Connection, Http1Pool

from soak._daemon import Daemon

DEADLINE_SECONDS = 3.0
REQUEST_TIMEOUT_SECONDS = 8.0
ROUTES = ("ask", "once", "look", "book")


@dataclass
class RequestRecord:
    """One request as its caller observed it; times are seconds on the monotonic clock."""

    attempt_id: str
    route: str
    daemon: Daemon
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    complete: bool = False
    failure_reason: str = ""


@dataclass
class Callers:
    """Sends requests to daemons and keeps a record of each."""

    random_source: random.Random
    daemons: list[Daemon]
    records: list[RequestRecord] = field(default_factory=list)
    stopping: bool = False

    def __post_init__(self) -> None:
        self._pool = Http1Pool()
        self._attempt_numbers = itertools.count()

    async def run(self, pause_seconds: float) -> None:
        """Send requests one after the other until ``stopping`` is set."""
        connection: Http1Connection | None = None
        while not self.stopping:
            await asyncio.sleep(pause_seconds * self.random_source.uniform(0.5, 1.5))
            daemon = self.random_source.choice(self.daemons)
            if connection is None or self.random_source.random() < 0.1:
                try:
                    connection = await self._pool.acquire(daemon.address, fresh=True)
                except NotSentError:
                    continue
            else:
                daemon = next(d for d in self.daemons if d.address == connection.address)
            record = await self.send_request(connection, daemon, self.random_source.choice(ROUTES))
            if not (record.complete and connection.reusable):
                connection.close()
                connection = None

    async def send_on_new_connection(self, daemon: Daemon, route: str) -> RequestRecord | None:
        """Send a request on a new connection; return None if the connection fails."""
        try:
            connection = await self._pool.acquire(daemon.address, fresh=True)
        except NotSentError:
            return None
        record = await self.send_request(connection, daemon, route)
        connection.close()
        return record

    async def send_request(
        self, connection: Http1Connection, daemon: Daemon, route: str
    ) -> RequestRecord:
        """Send a request, read its response and return the record."""
        record = RequestRecord(f"r{next(self._attempt_numbers)}", route, daemon, time.monotonic())
        self.records.append(record)
        deadline_ms = str(int(DEADLINE_SECONDS * 1000)).encode()
        headers = caller_headers(record.attempt_id.encode(), deadline_ms=deadline_ms)
        method = b"POST" if route in ("ask", "once", "book") else b"GET"
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                await connection.send(method, f"/{route}/1".encode(), headers, b"")
                head = await connection.read_head()
                record.status = head.status
                while (data := await connection.read_body_part()) is not None:
                    record.body += data
            record.complete = True
        except ReplyLostError as error:
            record.failure_reason = str(error)
        except TimeoutError:
            record.failure_reason = "no complete response within the timeout of the caller"
        record.ended_at = time.monotonic()
        return record
