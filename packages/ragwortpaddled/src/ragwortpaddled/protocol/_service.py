"""Forwards requests to plain services."""

from dataclasses import dataclass

from ragwortpaddled.protocol._refusal import ATTEMPT_HEADER, REQUEST_ID_HEADER
from ragwortpaddled.transport import HttpExchange, HttpReply

IDEMPOTENCY_KEY_HEADER = b"Idempotency-Key"

# Hop-by-hop headers, and headers that the daemon replaces or consumes.
_NOT_FORWARDED_HEADERS = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-length",
        b"content-type",
        b"host",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to forward; ``path`` is relative to the route and includes the query."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    content_type: bytes
    body: bytes


class ServiceClient:
    """A client of plain services."""

    def __init__(self, http: HttpExchange) -> None:
        self._http = http

    async def call(
        self,
        address: str,
        base_path: str,
        call: ServiceCall,
        timeout_seconds: float,
        attempt: str = "",
    ) -> HttpReply:
        """Forward a request; if ``attempt`` is set, over a new connection.

        :raises NotSentError: no byte of the request was sent
        :raises ReplyLostError: the request may have been executed
        """
        headers = [(k, v) for k, v in call.headers if k.lower() not in _NOT_FORWARDED_HEADERS]
        headers.append((REQUEST_ID_HEADER, call.request_id.encode()))
        if attempt:
            headers.append((ATTEMPT_HEADER, attempt.encode()))
        return await self._http.exchange(
            call.method,
            f"http://{address}{base_path.rstrip('/')}/{call.path.lstrip('/')}",
            body=call.body,
            content_type=call.content_type,
            headers=headers,
            timeout_seconds=timeout_seconds,
            fresh_connection=bool(attempt),
        )


def end_to_end_headers(reply: HttpReply) -> list[tuple[bytes, bytes]]:
    """Return the headers of a reply that are forwarded to the caller."""
    return [(k, v) for k, v in reply.headers if k.lower() not in _NOT_FORWARDED_HEADERS]
