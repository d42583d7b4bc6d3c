"""One attempt of a relayed request at one endpoint."""

import asyncio
import logging
import time
from dataclasses import dataclass

from ragwortpaddled.coordination._connection_log import ConnectionLog
from ragwortpaddled.coordination._dispatcher import Target
from ragwortpaddled.coordination._forwarding import (
    MAX_PEERS_TRIED,
    ForwardFailure,
    forward_failure,
    forwarding_headers,
    record_unavailable_peer,
    without_forwarding_headers,
)
from ragwortpaddled.coordination._reach_monitor import ReachMonitor
from ragwortpaddled.errors import (
    EndpointError,
    MaybeRunError,
    NoRoomError,
    NotRunError,
    NotSentError,
    PeerUnavailableError,
    RefusedError,
    ReplyLostError,
    ResponseLostError,
    UnreachableError,
)
from ragwortpaddled.protocol import Dialect, ForwardingMetadata, PathRoute, RequestMetadata
from ragwortpaddled.state import EndpointLoads, ForwardingPeers, RequestLimits
from ragwortpaddled.transport import (
    Headers,
    Http1Connection,
    Http1Pool,
    KeyRing,
    RawHeaders,
    ResponseHead,
    ServerRequest,
    without_hop_by_hop_headers,
)

CONNECTION_LOG_SECONDS = 1.0  # at most one line in this time
IMMEDIATE_REFUSAL_SECONDS = 0.5  # engines wait 2 s for an unreachable peer before refusing
NO_LINK_RETRY_SECONDS = 0.5

_FORWARD_ERROR_BY_FAILURE: dict[ForwardFailure, type[EndpointError]] = {
    ForwardFailure.UNAVAILABLE: PeerUnavailableError,
    ForwardFailure.NOT_SENT: UnreachableError,
    ForwardFailure.LOST: ResponseLostError,
}

logger = logging.getLogger(__name__)


class Response:
    """An endpoint's response: its head, and its body as it arrives."""

    def __init__(
        self,
        connection: Http1Connection,
        pool: Http1Pool,
        head: ResponseHead,
        reach_monitor: ReachMonitor | None = None,
    ) -> None:
        """``reach_monitor`` learns of a stream over this VM's own link, None if a peer forwards."""
        self.status = head.status
        self.headers = without_forwarding_headers(without_hop_by_hop_headers(head.headers))
        self.ends_with_connection = head.ends_with_connection
        self._connection = connection
        self._pool = pool
        self._complete = False
        self._reach_monitor = reach_monitor
        self._streaming = False

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raises ``ReplyLostError``."""
        data = await self._connection.read_body_part()
        if data is None:
            self._complete = True
        elif self._reach_monitor is not None:
            if not self._streaming:
                self._streaming = True
                self._reach_monitor.record_stream_opened(self._connection.address)
            self._reach_monitor.record_received()
        return data

    async def read_all(self) -> bytes:
        """Return the whole body; raises ``ReplyLostError``."""
        body = await self._connection.read_body()
        self._complete = True
        return body

    def retain(self, size: int) -> None:
        """Record how many received bytes the reader keeps; raises ``ReplyTooLargeError``."""
        self._connection.retain(size)

    def close(self) -> None:
        """Return the connection to the pool after a complete response, else close it.

        Closing it cancels the request at the endpoint.
        """
        if self._streaming and self._reach_monitor is not None:
            self._reach_monitor.record_stream_closed(self._connection.address)
            self._streaming = False
        if self._complete:
            self._pool.release(self._connection)
        else:
            self._connection.close()


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request; ``deadline`` is on the monotonic clock, in seconds."""

    request: ServerRequest
    metadata: RequestMetadata
    target: Target
    route: PathRoute
    deadline: float
    team: str
    last_event_id: str

    @property
    def once(self) -> bool:
        """Return whether the request must not be repeated, which takes a new connection."""
        return not self.route.retryable


class EndpointClient:
    """Sends requests to endpoints and classifies their responses."""

    def __init__(
        self,
        dialect: Dialect,
        loads: EndpointLoads,
        request_limits: RequestLimits,
        reach_monitor: ReachMonitor,
        connections: Http1Pool,
        peers: ForwardingPeers,
        keys: KeyRing,
    ) -> None:
        self.connections = connections
        self._peer_connections = Http1Pool()
        self._dialect = dialect
        self._loads = loads
        self._request_limits = request_limits
        self._connection_log = ConnectionLog()
        self._reach_monitor = reach_monitor
        self._peers = peers
        self._keys = keys

    async def send(self, attempt: Attempt) -> Response:
        """Send a request and return a response that is verified to be the endpoint's own.

        :raises RefusedError: this VM's links to the endpoints are lost, and no peer forwards
        :raises NotRunError: the endpoint did not run the request
        :raises MaybeRunError: the endpoint may have run the request
        """
        if self._reach_monitor.cut:
            return await self._send_through_peer(attempt)
        endpoint = attempt.target.endpoint
        try:
            connection = await self.connections.acquire(endpoint.address, fresh=attempt.once)
        except NotSentError as error:
            self._connection_log.record_unreached(endpoint.id, str(error))
            if not await self._reach_monitor.check_links(endpoint.address):
                raise UnreachableError(endpoint.id, str(error)) from error
            return await self._send_through_peer(attempt)
        return await self._exchange(connection, self.connections, attempt)

    def refuse_without_links(self) -> None:
        """Refuse a request that could not be sent to any endpoint.

        :raises RefusedError: this VM's links to the endpoints are lost, and no peer forwards
        """
        if self._reach_monitor.cut and not self._peers.candidates():
            raise _no_link_error()

    def record_peer_failure(self, peer_name: str) -> None:
        """Skip a peer through which an attempt failed, whatever the reason, for a while."""
        self._peers.record_refusal(peer_name)

    async def _send_through_peer(self, attempt: Attempt) -> Response:
        endpoint = attempt.target.endpoint
        self.refuse_without_links()
        # The links of a peer may be lost, too: a connection that it has open may be silent.
        added_headers = forwarding_headers(self._keys, endpoint.address, fresh=True)
        for peer in self._peers.candidates()[:MAX_PEERS_TRIED]:
            try:
                connection = await self._peer_connections.acquire(peer.address, fresh=attempt.once)
            except NotSentError as error:
                record_unavailable_peer(self._peers, peer, str(error))
                continue
            fields = {"endpoint": endpoint.id, "peer": peer.name}
            extra = {"request_id": attempt.metadata.attempt_id, "fields": fields}
            logger.info("attempt sent through a peer", extra=extra)
            attempt.target.peer = peer.name
            try:
                return await self._exchange(
                    connection, self._peer_connections, attempt, added_headers
                )
            except PeerUnavailableError:
                record_unavailable_peer(self._peers, peer, "refused")
        attempt.target.peer = ""
        raise _no_link_error()

    async def _exchange(
        self,
        connection: Http1Connection,
        pool: Http1Pool,
        attempt: Attempt,
        added_headers: Headers = (),
    ) -> Response:
        """Send an attempt on a connection to its endpoint or to a peer; close it on failure."""
        target = attempt.target
        headers = [*self._build_headers(attempt), *added_headers]
        try:
            head = await self._request_head(connection, attempt, headers)
            self._check_head(head, attempt)
        except BaseException:
            connection.close()
            raise
        return Response(connection, pool, head, None if target.peer else self._reach_monitor)

    def _build_headers(self, attempt: Attempt) -> RawHeaders:
        request, target = attempt.request, attempt.target
        # Reads the remaining time here: connecting may have taken a part of it.
        forwarding_metadata = ForwardingMetadata(
            endpoint_id=target.endpoint.id,
            deadline_ms=max(1, int((attempt.deadline - time.monotonic()) * 1000)),
            team=attempt.team,
            path=target.path,
            last_event_id=attempt.last_event_id,
        )
        forwarded = self._dialect.build_forward_headers(request.headers, forwarding_metadata)
        headers = without_forwarding_headers(without_hop_by_hop_headers(forwarded))
        if request.body or request.header(b"content-length") is not None:
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        return headers

    async def _request_head(
        self, connection: Http1Connection, attempt: Attempt, headers: RawHeaders
    ) -> ResponseHead:
        request, target = attempt.request, attempt.target
        endpoint_id = target.endpoint.id
        target.sent_at = time.monotonic()
        target.may_have_received = True
        try:
            await connection.send(request.method, request.target, headers, request.body)
            head = await connection.read_head()
        except ReplyLostError as error:
            self._connection_log.record_broken(endpoint_id)
            raise ResponseLostError(endpoint_id, str(error)) from error
        failure = forward_failure(head.status, head.headers) if target.peer else None
        if failure is not None:
            target.may_have_received = failure is ForwardFailure.LOST
            raise _FORWARD_ERROR_BY_FAILURE[failure](endpoint_id, f"{failure.value} at a peer")
        self._connection_log.record_answer(endpoint_id)
        return head

    def _check_head(self, head: ResponseHead, attempt: Attempt) -> None:
        """Record what a response says of its endpoint; raise unless it answers the request."""
        target = attempt.target
        endpoint_id = target.endpoint.id
        response_metadata = self._dialect.parse_response_headers(head.status, head.headers)
        if response_metadata.attempt_id not in ("", attempt.metadata.attempt_id):
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
            immediate = time.monotonic() - target.sent_at < IMMEDIATE_REFUSAL_SECONDS
            error_type = NoRoomError if immediate else NotRunError
            raise error_type(
                failed_id or endpoint_id, f"endpoint refused with status {head.status}"
            )
        if head.status < 300 and not response_metadata.sealed:
            raise MaybeRunError(endpoint_id, "response is not signed by the endpoint")
        if head.header(b"content-encoding") is not None:
            raise MaybeRunError(endpoint_id, "response has an unsupported content encoding")

    async def run(self) -> None:
        """Close expired idle connections and log failed ones, for the life of the daemon."""
        while True:
            await asyncio.sleep(CONNECTION_LOG_SECONDS)
            self.connections.close_idle()
            self._connection_log.write()
            self._peer_connections.close_idle()

    def close(self) -> None:
        """Close all idle connections."""
        self.connections.close()
        self._peer_connections.close()


def _no_link_error() -> RefusedError:
    return RefusedError(503, "the links to the endpoints are lost", NO_LINK_RETRY_SECONDS)
