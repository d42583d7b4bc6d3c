"""HTTP messages, and the interface that all clients for complete replies share."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

# Bounds what a faulty server can make a reader keep; the largest expected reply has 1 MB.
MAX_BODY_BYTES = 16 * 1024 * 1024
IDLE_TIMEOUT_SECONDS = 3.0  # common servers close idle connections after 5 s

Headers = Iterable[tuple[bytes, bytes]]

# Hop-by-hop headers (RFC 9110, 7.6.1), and Content-Length, which is set again for each hop.
_HOP_BY_HOP_HEADERS = frozenset(
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


def without_hop_by_hop_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are forwarded to the next hop."""
    return [(name, value) for name, value in headers if name.lower() not in _HOP_BY_HOP_HEADERS]


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, None if it is absent; names are case-insensitive."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted), None)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A reply with its complete body."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent."""
        return first_value(self.headers, name)


class HttpExchange(Protocol):
    """Sends requests and reads complete replies; never retries a request by itself."""

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
        """Send a request and return its reply.

        With ``fresh_connection``, a failure to connect always raises ``NotSentError``. On a pooled
        connection that the server is just closing, the request may be lost after it was sent.

        :raises NotSentError: no byte of the request was sent
        :raises ReplyTimeoutError: no complete reply arrived within ``timeout_seconds``
        :raises ReplyLostError: the request may have been executed
        """
