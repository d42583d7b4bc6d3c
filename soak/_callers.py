"""Callers that keep their connections, and what they saw."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

from ragwortpaddle_standins.users_platform import caller_headers
from ragwortpaddled.errors import NotSentError, ReplyLostError
from ragwortpaddled.transport import Http1Connection, Http1Pool

from soak._daemon import Daemon

DEADLINE_SECONDS = 3.0
PATIENCE_SECONDS = 8.0
KINDS = ("ask", "once", "look", "book")


@dataclass
class Sighting:
    """One request as its caller saw it; times are on the monotonic clock."""

    attempt_id: str
    kind: str
    daemon: Daemon
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    whole: bool = False
    reason: str = ""


@dataclass
class Callers:
    """Everything that callers sent."""

    random_source: random.Random
    daemons: list[Daemon]
    sightings: list[Sighting] = field(default_factory=list)
    stopping: bool = False

    def __post_init__(self) -> None:
        self._pool = Http1Pool()
        self._numbers = itertools.count()

    async def run(self, pause_seconds: float) -> None:
        """Send one request after the other until asked to stop."""
        connection: Http1Connection | None = None
        while not self.stopping:
            await asyncio.sleep(pause_seconds * self.random_source.uniform(0.5, 1.5))
            daemon = self.random_source.choice(self.daemons)
            if connection is None or self.random_source.random() < 0.1:
                try:
                    connection = await self._pool.take(daemon.address, fresh=True)
                except NotSentError:
                    continue
            else:
                daemon = next(d for d in self.daemons if d.address == connection.address)
            sighting = await self.ask(connection, daemon, self.random_source.choice(KINDS))
            if not (sighting.whole and connection.reusable):
                connection.close()
                connection = None

    async def ask_anew(self, daemon: Daemon, kind: str) -> Sighting | None:
        """Send a request on a connection of its own; None where there is no connection."""
        try:
            connection = await self._pool.take(daemon.address, fresh=True)
        except NotSentError:
            return None
        sighting = await self.ask(connection, daemon, kind)
        connection.close()
        return sighting

    async def ask(self, connection: Http1Connection, daemon: Daemon, kind: str) -> Sighting:
        """Send a request and read its answer."""
        sighting = Sighting(f"r{next(self._numbers)}", kind, daemon, time.monotonic())
        self.sightings.append(sighting)
        deadline_ms = str(int(DEADLINE_SECONDS * 1000)).encode()
        headers = caller_headers(sighting.attempt_id.encode(), deadline_ms=deadline_ms)
        method = b"POST" if kind in ("ask", "once", "book") else b"GET"
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await connection.send(method, f"/{kind}/1".encode(), headers, b"")
                head = await connection.read_head()
                sighting.status = head.status
                while (data := await connection.read_body()) is not None:
                    sighting.body += data
            sighting.whole = True
        except ReplyLostError as error:
            sighting.reason = str(error)
        except TimeoutError:
            sighting.reason = "the caller gave up"
        sighting.ended_at = time.monotonic()
        return sighting
