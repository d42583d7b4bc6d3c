"""One attempt of a relayed request at one endpoint."""

import asyncio
import logging
import time

from ragwortpaddled.coordination._dispatcher import Target
from ragwortpaddled.errors import (
    MaybeRunError,
    NoRoomError,
    NotRunError,
    NotSentError,
    ReplyLostError,
    ResponseLostError,
)
from ragwortpaddled.protocol import Dialect, ForwardingMetadata, PathRoute, RequestMetadata
from ragwortpaddled.state import EndpointLoads, RequestLimits
from ragwortpaddled.transport import (
    Http1Connection,
    Http1Pool,
    RawHeaders,
    ResponseHead,
    ServerRequest,
)

# Hop-by-hop headers (RFC 9110, 7.6.1), and Content-Length, which is set again for each hop.
HOP_BY_HOP_HEADERS = frozenset(
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

CONNECTION_LOG_SECONDS = 1.0  # at most one line in this time
MAX_LOGGED_IDS = 20  # in one line
IMMEDIATE_REFUSAL_SECONDS = 0.5  # engines wait 2 s for an unreachable peer before refusing

logger = logging.getLogger(__name__)


class Response:
    """An endpoint's response: its head, and its body as it arrives."""

    def __init__(
        self,
        connection: Http1Connection,
        pool: Http1Pool,
        head: ResponseHead,
    ) -> None:
        self.status = head.status
        self.headers = [(name, v) for name, v in head.headers if name not in HOP_BY_HOP_HEADERS]
        self.ends_with_connection = head.ends_with_connection
        self._connection = connection
        self._pool = pool
        self._complete = False

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raises ``ReplyLostError``."""
        data = await self._connection.read_body_part()
        if data is None:
            self._complete = True
        return data

    async def read_all(self) -> bytes:
        """Return the whole body; raises ``ReplyLostError``."""
        body = await self._connection.read_body()
        self._complete = True
        return body

    def close(self) -> None:
        """Return the connection to the pool after a complete response, else close it.

        Closing it cancels the request at the endpoint.
        """
        if self._complete:
            self._pool.release(self._connection)
        else:
            self._connection.close()


class _ConnectionLog:
    """Counts the endpoints that are reached and those that are not, and logs them together.

    One endpoint that is not reached has a fault of its own; if no endpoint is, the fault is between
    this daemon and the endpoints.
    """

    def __init__(self) -> None:
        self._answered_at = time.monotonic()
        self._answered_ids: set[str] = set()
        self._reason_by_unreached_id: dict[str, str] = {}
        self._broken_ids: set[str] = set()

    def record_answer(self, endpoint_id: str) -> None:
        """Record that an endpoint has begun to respond."""
        self._answered_at = time.monotonic()
        self._answered_ids.add(endpoint_id)

    def record_unreached(self, endpoint_id: str, reason: str) -> None:
        """Record that a connection to an endpoint could not be opened."""
        self._reason_by_unreached_id[endpoint_id] = reason

    def record_broken(self, endpoint_id: str) -> None:
        """Record that a connection broke before the endpoint responded."""
        self._broken_ids.add(endpoint_id)

    def write(self) -> None:
        """Log the endpoints since the last call, if there was a failure among them."""
        if self._reason_by_unreached_id or self._broken_ids:
            unreached_ids = sorted(self._reason_by_unreached_id)[:MAX_LOGGED_IDS]
            fields = {
                "unreached": len(self._reason_by_unreached_id),
                "endpoints": unreached_ids,
                "reason": next(iter(self._reason_by_unreached_id.values()), ""),
                "broken": len(self._broken_ids),
                "answered": len(self._answered_ids),
                "last_answer_ms": int((time.monotonic() - self._answered_at) * 1000),
            }
            logger.warning("endpoints not reached", extra={"fields": fields})
        self._answered_ids.clear()
        self._reason_by_unreached_id.clear()
        self._broken_ids.clear()


class EndpointClient:
    """Sends requests to endpoints and classifies their responses."""

    def __init__(
        self, dialect: Dialect, loads: EndpointLoads, request_limits: RequestLimits
    ) -> None:
        self.connections = Http1Pool()
        self._dialect = dialect
        self._loads = loads
        self._request_limits = request_limits
        self._connection_log = _ConnectionLog()

    async def send(
        self,
        request: ServerRequest,
        metadata: RequestMetadata,
        target: Target,
        route: PathRoute,
        *,
        deadline: float,
        team: str,
        last_event_id: str,
    ) -> Response:
        """Send a request and return a response that is verified to be the endpoint's own.

        :raises NotRunError: the endpoint did not run the request
        :raises MaybeRunError: the endpoint may have run the request
        """
        endpoint = target.endpoint
        try:
            connection = await self.connections.acquire(endpoint.address, fresh=not route.retryable)
        except NotSentError as error:
            self._connection_log.record_unreached(endpoint.id, str(error))
            raise NotRunError(endpoint.id, str(error)) from error
        forwarding_metadata = ForwardingMetadata(
            endpoint_id=endpoint.id,
            deadline_ms=max(1, int((deadline - time.monotonic()) * 1000)),
            team=team,
            path=target.path,
            last_event_id=last_event_id,
        )
        headers = [
            (name, value)
            for name, value in self._dialect.build_forward_headers(
                request.headers, forwarding_metadata
            )
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        if request.body or request.header(b"content-length") is not None:
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        try:
            return await self._exchange(connection, request, metadata, target, headers)
        except BaseException:
            connection.close()
            raise

    async def _exchange(
        self,
        connection: Http1Connection,
        request: ServerRequest,
        metadata: RequestMetadata,
        target: Target,
        headers: RawHeaders,
    ) -> Response:
        endpoint_id = target.endpoint.id
        sent_at = time.monotonic()
        target.may_have_received = True
        try:
            await connection.send(request.method, request.target, headers, request.body)
            head = await connection.read_head()
        except ReplyLostError as error:
            self._connection_log.record_broken(endpoint_id)
            raise ResponseLostError(endpoint_id, str(error)) from error
        self._connection_log.record_answer(endpoint_id)
        response_metadata = self._dialect.parse_response_headers(head.status, head.headers)
        if response_metadata.attempt_id and response_metadata.attempt_id != metadata.attempt_id:
            # Not even a refusal of another attempt says whether this one has run.
            raise MaybeRunError(endpoint_id, "response carries the id of another attempt")
        if response_metadata.running is not None:
            self._loads.record_reported_load(endpoint_id, response_metadata.running)
        self._request_limits.record_answer(endpoint_id, response_metadata.requests_per_second)
        if response_metadata.not_run:
            failed_id = (
                target.endpoint_id_at(response_metadata.failed_address)
                if response_metadata.failed_address
                else None
            )
            immediate = time.monotonic() - sent_at < IMMEDIATE_REFUSAL_SECONDS
            error_type = NoRoomError if immediate else NotRunError
            raise error_type(
                failed_id or endpoint_id, f"endpoint refused with status {head.status}"
            )
        if head.status < 300 and not response_metadata.sealed:
            raise MaybeRunError(endpoint_id, "response is not signed by the endpoint")
        if head.header(b"content-encoding") is not None:
            raise MaybeRunError(endpoint_id, "response has an unsupported content encoding")
        return Response(connection, self.connections, head)

    async def accepts_connections(self, address: str) -> bool:
        """Return whether an endpoint accepts a new connection: one that has crashed does not."""
        try:
            connection = await self.connections.acquire(address, fresh=True)
        except NotSentError:
            return False
        connection.close()
        return True

    async def run(self) -> None:
        """Close expired idle connections and log failed ones, for the life of the daemon."""
        while True:
            await asyncio.sleep(CONNECTION_LOG_SECONDS)
            self.connections.close_idle()
            self._connection_log.write()
