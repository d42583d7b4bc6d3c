"""Sends HTTP requests and tells a request that was never sent from one whose reply was lost."""

from collections.abc import Iterable
from dataclasses import dataclass

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
)
from multidict import CIMultiDict
from yarl import URL

from ragwortpaddled.errors import NotSentError, ReplyLostError, ReplyTimeoutError
from ragwortpaddled.transport._socket_options import new_socket

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 3.0  # below the 5 s after which common servers close an idle connection

Headers = Iterable[tuple[bytes, bytes]]


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, whatever the case of its name."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted), None)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole reply."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return first_value(self.headers, name)


class HttpClient:
    """Exchanges one request for one whole reply, and never sends a request twice."""

    def __init__(self) -> None:
        self._session: ClientSession | None = None

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

        A fresh connection makes ``NotSentError`` certain where a pooled one could be half closed.

        :raises NotSentError: no byte of the request went out
        :raises ReplyLostError: the request may have been handled
        """
        sent_headers = CIMultiDict((k.decode("latin-1"), v.decode("latin-1")) for k, v in headers)
        if body:
            sent_headers["Content-Type"] = content_type.decode("latin-1")
        timeout = ClientTimeout(total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
        if not fresh_connection:
            return await self._send(self._pooled(), method, url, body, sent_headers, timeout)
        async with _new_session(reuse=False) as session:
            return await self._send(session, method, url, body, sent_headers, timeout)

    async def close(self) -> None:
        """Close the pooled connections."""
        if self._session is not None:
            await self._session.close()

    def _pooled(self) -> ClientSession:
        if self._session is None:
            self._session = _new_session(reuse=True)
        return self._session

    @staticmethod
    async def _send(
        session: ClientSession,
        method: str,
        url: str,
        body: bytes,
        headers: CIMultiDict[str],
        timeout: ClientTimeout,
    ) -> HttpReply:
        try:
            async with session.request(
                method,
                URL(url, encoded=True),
                data=body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                payload = await response.read()
                return HttpReply(response.status, tuple(response.raw_headers), payload)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise NotSentError(f"{url}: {error}") from error
        except TimeoutError as error:
            raise ReplyTimeoutError(f"{url}: no reply within {timeout.total:.3f} s") from error
        except (ClientError, OSError, ValueError) as error:
            raise ReplyLostError(f"{url}: {type(error).__name__}: {error}") from error


def _new_session(*, reuse: bool) -> ClientSession:
    if reuse:
        connector = TCPConnector(
            limit=0, keepalive_timeout=IDLE_TIMEOUT_SECONDS, socket_factory=new_socket
        )
    else:
        connector = TCPConnector(limit=0, force_close=True, socket_factory=new_socket)
    session = ClientSession(connector=connector, cookie_jar=DummyCookieJar(), auto_decompress=False)
    # The library sends idempotent methods again after a broken connection; a service's PUT or a
    # conditional write must not be. There is no public switch; a test holds this.
    session._retry_connection = False
    return session
