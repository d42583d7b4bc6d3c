"""Requests to endpoints through a peer, while the links of the own VM to them are lost.

The daemon that received a request decides everything about it and sends each attempt, complete with
the headers for the endpoint, to a peer, which passes it on once and returns the response as it
arrives. A peer that is cut off itself, or that knows the endpoint as leaving, refuses.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from ragwortpaddled import telemetry
from ragwortpaddled.coordination._reach_monitor import ReachMonitor
from ragwortpaddled.coordination._relay_directory import RelayDirectory
from ragwortpaddled.errors import NotSentError, PeerRefusedError, ReplyLostError
from ragwortpaddled.protocol import Dialect, EndpointEntry
from ragwortpaddled.state import ForwardingPeer, ForwardingPeers
from ragwortpaddled.transport import (
    Headers,
    Http1Pool,
    HttpExchange,
    HttpReply,
    KeyRing,
    RawHeaders,
    Responder,
    ResponseHead,
    ServerRequest,
    first_value,
    without_hop_by_hop_headers,
)

MAX_FORWARDED_REQUESTS = 512  # bounds the memory on a VM with 300 MB
FORWARDING_HEADER_BYTES = 8 * 1024  # a path of 32 stages, a signature and what the relay adds
# A peer that lost its links at the same moment may not know it yet.
MAX_PEERS_TRIED = 3
FAILURE_STATUS = 502
REJECTION_STATUSES = (400, 403, 408, 413, 431, 501, 503)  # a peer's, before it sends anything on

_ADDRESS_HEADER = b"Forward-To"
_FRESH_HEADER = b"Forward-Fresh"
_SIGNATURE_HEADER = b"Forward-Signature"
_RESULT_HEADER = b"Forward-Result"
_FORWARDING_HEADERS = frozenset(
    name.lower() for name in (_ADDRESS_HEADER, _FRESH_HEADER, _SIGNATURE_HEADER, _RESULT_HEADER)
)
_SIGNATURE_CONTEXT = b"forward"
_ENDPOINT_RESPONSE = b"response"  # the result header of a response that is the endpoint's

logger = logging.getLogger(__name__)


class ForwardFailure(StrEnum):
    """Why a peer returned no response of the endpoint."""

    UNAVAILABLE = "unavailable"  # the peer forwards no request at present
    NOT_SENT = "not-sent"  # the endpoint did not receive the request
    LOST = "lost"  # the endpoint may have received the request


def forwarding_headers(keys: KeyRing, address: str, *, fresh: bool) -> RawHeaders:
    """Return the headers that make a peer pass a request on to the endpoint at an address.

    With ``fresh``, the peer opens a new connection to it.
    """
    target = address.encode()
    return [
        (_ADDRESS_HEADER, target),
        (_FRESH_HEADER, b"1" if fresh else b"0"),
        (_SIGNATURE_HEADER, keys.sign(target, _SIGNATURE_CONTEXT).hex().encode()),
    ]


def without_forwarding_headers(headers: Iterable[tuple[bytes, bytes]]) -> RawHeaders:
    """Return headers without those of this module."""
    return [(name, value) for name, value in headers if name.lower() not in _FORWARDING_HEADERS]


def forward_failure(status: int, headers: Headers) -> ForwardFailure | None:
    """Return why a peer did not return a response of the endpoint, None if it did."""
    value = first_value(headers, _RESULT_HEADER)
    if value == _ENDPOINT_RESPONSE:
        return None
    if value is None and status in REJECTION_STATUSES:
        return ForwardFailure.UNAVAILABLE
    try:
        return ForwardFailure((value or b"").decode("latin-1"))
    except ValueError:
        return ForwardFailure.LOST


@dataclass(eq=False, slots=True)
class _ForwardedRequest:
    """A peer's request in flight."""

    timeout: asyncio.Timeout
    may_have_received: bool = False  # sending the request to the endpoint has begun
    end_reason: str = ""  # why this daemon has ended it


class RequestForwarder:
    """Passes requests of peers on to endpoints."""

    def __init__(
        self,
        relay_directory: RelayDirectory,
        reach_monitor: ReachMonitor,
        connections: Http1Pool,
        keys: KeyRing,
        dialect: Dialect,
    ) -> None:
        self.draining = False
        self._relay_directory = relay_directory
        self._reach_monitor = reach_monitor
        self._connections = connections
        self._keys = keys
        self._dialect = dialect
        self._running: set[_ForwardedRequest] = set()

    @property
    def available(self) -> bool:
        """Return whether this daemon can forward requests, which it tells its peers."""
        return not (
            self.draining or self._reach_monitor.cut or len(self._running) >= MAX_FORWARDED_REQUESTS
        )

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        """Pass one request on and return the response; a cancellation means the peer cancelled."""
        started_at = time.monotonic()
        try:
            address = self._verified_address(request)
        except PeerRefusedError as error:
            logger.warning("request to forward refused: %s", error)
            await responder.send(403, [], b"not authentic")
            return
        result = "cancelled"
        forwarded = _ForwardedRequest(asyncio.timeout(None))
        try:
            async with forwarded.timeout:
                available = self.available
                self._running.add(forwarded)
                if not available:
                    result = await self._fail(
                        responder, ForwardFailure.UNAVAILABLE, "not available"
                    )
                else:
                    result = await self._forward(request, responder, address, forwarded)
        except TimeoutError:
            if not forwarded.end_reason:
                raise
            result = f"ended: {forwarded.end_reason}"
            await self._fail_ended(responder, forwarded)
        finally:
            self._running.discard(forwarded)
            telemetry.forwarded_requests.add(1, {"result": result.partition(":")[0]})
            fields = {
                "address": address,
                "result": result,
                "ms": int((time.monotonic() - started_at) * 1000),
            }
            attempt_id = self._dialect.parse_request_headers(request.headers).attempt_id
            logger.info(
                "request forwarded for a peer", extra={"request_id": attempt_id, "fields": fields}
            )

    def end_requests(self, reason: str) -> None:
        """End the requests in flight, so that the peers can send them elsewhere if they may."""
        for forwarded in self._running:
            if not forwarded.timeout.expired():
                forwarded.end_reason = reason
                forwarded.timeout.reschedule(asyncio.get_running_loop().time())

    def _verified_address(self, request: ServerRequest) -> str:
        """Return the address that a peer's request names; raise ``PeerRefusedError``."""
        target = request.header(_ADDRESS_HEADER) or b""
        try:
            signature = bytes.fromhex((request.header(_SIGNATURE_HEADER) or b"").decode("latin-1"))
        except ValueError as error:
            raise PeerRefusedError("malformed signature") from error
        signed_target, _ = self._keys.verify(signature, _SIGNATURE_CONTEXT)
        if signed_target != target:
            raise PeerRefusedError("the signature is for another endpoint")
        return target.decode("latin-1")

    async def _forward(
        self,
        request: ServerRequest,
        responder: Responder,
        address: str,
        forwarded: _ForwardedRequest,
    ) -> str:
        entry = self._relay_directory.entry_at(address)
        if entry is None or entry.leaving:
            return await self._fail(responder, ForwardFailure.NOT_SENT, "not a usable endpoint")
        fresh = request.header(_FRESH_HEADER) == b"1"
        try:
            connection = await self._connections.acquire(address, fresh=fresh)
        except NotSentError as error:
            return await self._fail_unreachable(responder, entry, error)
        try:
            headers = without_forwarding_headers(without_hop_by_hop_headers(request.headers))
            if request.body or request.header(b"content-length") is not None:
                headers.append((b"Content-Length", str(len(request.body)).encode()))
            forwarded.may_have_received = True
            await connection.send(request.method, request.target, headers, request.body)
            head = await connection.read_head()
            await responder.start(head.status, _response_headers(head))
            is_empty = True
            while (data := await connection.read_body_part()) is not None:
                is_empty = False
                await responder.write(data)
            if head.ends_with_connection and is_empty:
                raise ReplyLostError(f"{address}: connection closed before the response's body")
            await responder.finish()
        except ReplyLostError as error:
            connection.close()
            if responder.started:
                raise ConnectionResetError(str(error)) from error
            return await self._fail(responder, ForwardFailure.LOST, str(error))
        except BaseException:
            connection.close()
            raise
        if self._answers(request, head):
            self._connections.release(connection)
        else:
            connection.close()  # what else arrives on it belongs to no request
        return f"response: {head.status}"

    def _answers(self, request: ServerRequest, head: ResponseHead) -> bool:
        """Return whether a response names no other attempt than the request's."""
        answered = self._dialect.parse_response_headers(head.status, head.headers).attempt_id
        asked = self._dialect.parse_request_headers(request.headers).attempt_id
        return answered in ("", asked)

    async def _fail_unreachable(
        self, responder: Responder, entry: EndpointEntry, error: NotSentError
    ) -> str:
        if await self._reach_monitor.check_links(entry.address):
            return await self._fail(responder, ForwardFailure.UNAVAILABLE, "links lost")
        self._reach_monitor.check_endpoint(entry)
        return await self._fail(responder, ForwardFailure.NOT_SENT, str(error))

    async def _fail_ended(self, responder: Responder, forwarded: _ForwardedRequest) -> None:
        """Tell a peer whether the endpoint may have received a request that was ended."""
        if responder.complete:
            return
        if responder.started:
            raise ConnectionResetError(forwarded.end_reason)
        failure = ForwardFailure.LOST if forwarded.may_have_received else ForwardFailure.UNAVAILABLE
        await self._fail(responder, failure, forwarded.end_reason)

    @staticmethod
    async def _fail(responder: Responder, failure: ForwardFailure, reason: str) -> str:
        headers = [(_RESULT_HEADER, failure.value.encode())]
        await responder.send(FAILURE_STATUS, headers, reason.encode())
        return f"{failure.value}: {reason}"


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What a daemon needs to forward requests of peers, and to send its own through them."""

    reach_monitor: ReachMonitor
    forwarder: RequestForwarder
    peers: ForwardingPeers
    keys: KeyRing
    address: Callable[[], str]  # of the own listener for peers, empty if there is none


class EndpointHttp:
    """Exchanges complete messages with endpoints, through a peer while the links are lost."""

    def __init__(
        self, http: HttpExchange, reach_monitor: ReachMonitor, peers: ForwardingPeers, keys: KeyRing
    ) -> None:
        self._http = http
        self._reach_monitor = reach_monitor
        self._peers = peers
        self._keys = keys

    async def exchange(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b"",
        content_type: bytes = b"application/json",
        headers: Headers = (),
        timeout_seconds: float,
        fresh_connection: bool = False,
    ) -> HttpReply:
        """Send a request and return its reply; see ``HttpExchange.exchange``."""
        address, _, path = url.removeprefix("http://").partition("/")
        deadline = time.monotonic() + timeout_seconds
        if not self._reach_monitor.cut:
            try:
                return await self._http.exchange(
                    method,
                    url,
                    body=body,
                    content_type=content_type,
                    headers=headers,
                    timeout_seconds=timeout_seconds,
                    fresh_connection=fresh_connection,
                )
            except NotSentError:
                if not await self._reach_monitor.check_links(address):
                    raise
        for peer in self._peers.candidates()[:MAX_PEERS_TRIED]:
            remaining_seconds = deadline - time.monotonic()
            if remaining_seconds <= 0:
                break
            try:
                reply = await self._http.exchange(
                    method,
                    f"http://{peer.address}/{path}",
                    body=body,
                    content_type=content_type,
                    headers=[
                        *headers,
                        *forwarding_headers(self._keys, address, fresh=fresh_connection),
                    ],
                    timeout_seconds=remaining_seconds,
                    fresh_connection=fresh_connection,
                )
            except NotSentError as error:
                record_unavailable_peer(self._peers, peer, str(error))
                continue
            failure = forward_failure(reply.status, reply.headers)
            if failure is None:
                return reply
            if failure is ForwardFailure.LOST:
                raise ReplyLostError(f"{address} through {peer.name}: no reply")
            if failure is ForwardFailure.UNAVAILABLE:
                record_unavailable_peer(self._peers, peer, "refused")
        raise NotSentError(f"{address}: the links are lost and no peer reached it")


def record_unavailable_peer(peers: ForwardingPeers, peer: ForwardingPeer, reason: str) -> None:
    """Skip a peer that did not forward a request for a while."""
    peers.record_refusal(peer.name)
    fields = {"peer": peer.name, "reason": reason}
    logger.info("peer does not forward requests at present", extra={"fields": fields})


def _response_headers(head: ResponseHead) -> RawHeaders:
    headers = without_forwarding_headers(without_hop_by_hop_headers(head.headers))
    headers.append((_RESULT_HEADER, _ENDPOINT_RESPONSE))
    length = head.header(b"content-length")
    return headers if length is None else [*headers, (b"Content-Length", length)]
