"""One attempt of a relayed request at one endpoint."""

import asyncio
import time

from ragwortpaddled.coordination._dispatcher import Target
from ragwortpaddled.errors import (
    MaybeRunError,
    NoRoomError,
    NotRunError,
    NotSentError,
    ReplyLostError,
)
from ragwortpaddled.protocol import Dialect, Forwarding, PathRoute, RequestFacts
from ragwortpaddled.state import EndpointLoads
from ragwortpaddled.transport import Http1Connection, Http1Pool, RawHeaders, ServerRequest

# Headers that concern one connection only (RFC 9110, 7.6.1), and the length that is set anew.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)

AT_ONCE_SECONDS = 0.5  # engines wait 2 s for one that is gone before they refuse


class Answer:
    """The head of an endpoint's answer, and its body as it comes."""

    def __init__(
        self,
        connection: Http1Connection,
        pool: Http1Pool,
        status: int,
        headers: RawHeaders,
    ) -> None:
        self.status = status
        self.headers = [(k, v) for k, v in headers if k not in CONNECTION_HEADERS]
        self._connection = connection
        self._pool = pool
        self._whole = False

    async def read(self) -> bytes | None:
        """Return some bytes, or None at the end; raises ``ReplyLostError``."""
        data = await self._connection.read_body()
        if data is None:
            self._whole = True
        return data

    async def read_all(self) -> bytes:
        """Return the whole body; raises ``ReplyLostError``."""
        parts = []
        while (data := await self.read()) is not None:
            parts.append(data)
        return b"".join(parts)

    def close(self) -> None:
        """Keep the connection after a whole answer, else close it, which cancels the work."""
        if self._whole:
            self._pool.give_back(self._connection)
        else:
            self._connection.close()


class Exchanger:
    """Sends requests to endpoints and reads what their answers mean."""

    def __init__(self, dialect: Dialect, loads: EndpointLoads) -> None:
        self.connections = Http1Pool()
        self._dialect = dialect
        self._loads = loads

    async def send(
        self,
        request: ServerRequest,
        facts: RequestFacts,
        target: Target,
        route: PathRoute,
        *,
        deadline: float,
        team: str,
        last_event_id: str,
    ) -> Answer:
        """Send a request and return the head of an answer that is the endpoint's own.

        :raises NotRunError: the endpoint did not run it
        :raises MaybeRunError: it may have run
        """
        endpoint = target.endpoint
        try:
            connection = await self.connections.take(endpoint.address, fresh=not route.repeatable)
        except NotSentError as error:
            raise NotRunError(endpoint.id, str(error)) from error
        forwarding = Forwarding(
            endpoint_id=endpoint.id,
            deadline_ms=max(1, int((deadline - time.monotonic()) * 1000)),
            team=team,
            path=target.path,
            last_event_id=last_event_id,
        )
        headers = [
            (name, value)
            for name, value in self._dialect.forward_headers(request.headers, forwarding)
            if name.lower() not in CONNECTION_HEADERS
        ]
        if request.body or request.header(b"content-length") is not None:
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        try:
            return await self._exchange(connection, request, facts, target, headers)
        except BaseException:
            connection.close()
            raise

    async def _exchange(
        self,
        connection: Http1Connection,
        request: ServerRequest,
        facts: RequestFacts,
        target: Target,
        headers: RawHeaders,
    ) -> Answer:
        endpoint_id = target.endpoint.id
        sent_at = time.monotonic()
        try:
            await connection.send(request.method, request.target, headers, request.body)
            head = await connection.read_head()
        except ReplyLostError as error:
            raise MaybeRunError(endpoint_id, str(error)) from error
        said = self._dialect.response_facts(head.status, head.headers)
        if said.running is not None:
            self._loads.state(endpoint_id, said.running)
        if said.not_run:
            culprit = target.id_at(said.fault_address) if said.fault_address else None
            at_once = time.monotonic() - sent_at < AT_ONCE_SECONDS
            error_type = NoRoomError if at_once else NotRunError
            raise error_type(culprit or endpoint_id, f"status {head.status}")
        if said.attempt_id and said.attempt_id != facts.attempt_id:
            raise MaybeRunError(endpoint_id, "the answer names another request")
        if head.status < 300 and not said.sealed:
            raise MaybeRunError(endpoint_id, "the answer is not signed")
        if head.header(b"content-encoding") is not None:
            raise MaybeRunError(endpoint_id, "the answer has a content encoding")
        return Answer(connection, self.connections, head.status, head.headers)

    async def run(self) -> None:
        """Close idle connections in time, for the life of the daemon."""
        while True:
            await asyncio.sleep(1.0)
            self.connections.close_idle()
