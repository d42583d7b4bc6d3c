"""HTTP client that distinguishes a request that was never sent from one whose reply was lost."""

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
)
from multidict import CIMultiDict
from yarl import URL

from ragwortpaddled.errors import (
    NotSentError,
    ReplyLostError,
    ReplyTimeoutError,
    ReplyTooLargeError,
)
from ragwortpaddled.transport._http_messages import (
    IDLE_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
    Headers,
    HttpReply,
)
from ragwortpaddled.transport._message_memory import RetainedMessage, message_memory
from ragwortpaddled.transport._socket_options import new_socket

CONNECT_TIMEOUT_SECONDS = 1.0


class HttpClient:
    """Sends requests and reads complete replies; never retries a request by itself."""

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
        """Send a request and return its reply; see ``HttpExchange.exchange``."""
        header_map = CIMultiDict((k.decode("latin-1"), v.decode("latin-1")) for k, v in headers)
        if body:
            header_map["Content-Type"] = content_type.decode("latin-1")
        timeout = ClientTimeout(total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
        if not fresh_connection:
            return await self._send(self._pooled_session(), method, url, body, header_map, timeout)
        async with _new_session(reuse=False) as session:
            return await self._send(session, method, url, body, header_map, timeout)

    async def close(self) -> None:
        """Close all pooled connections."""
        if self._session is not None:
            await self._session.close()

    def _pooled_session(self) -> ClientSession:
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
                reply_body = await _read_body(response)
                return HttpReply(response.status, tuple(response.raw_headers), reply_body)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise NotSentError(f"{url}: {error}") from error
        except TimeoutError as error:
            raise ReplyTimeoutError(f"{url}: no reply within {timeout.total:.3f} s") from error
        except (ClientError, OSError, ValueError) as error:
            raise ReplyLostError(f"{url}: {type(error).__name__}: {error}") from error


async def _read_body(response: ClientResponse) -> bytes:
    """Return the whole body; raises ``ReplyTooLargeError`` if it exceeds a limit."""
    source = response.url.authority
    message = RetainedMessage(message_memory(), source, response.close)
    body = bytearray()
    try:
        async for data in response.content.iter_any():
            body += data
            message.retain(len(body))
            if message.ended or len(body) > MAX_BODY_BYTES:
                raise ReplyTooLargeError(f"{source}: body of {len(body)} bytes exceeds a limit")
        return bytes(body)
    finally:
        message.release()
        body.clear()  # the traceback of an error would keep it


def _new_session(*, reuse: bool) -> ClientSession:
    if reuse:
        connector = TCPConnector(
            limit=0, keepalive_timeout=IDLE_TIMEOUT_SECONDS, socket_factory=new_socket
        )
    else:
        connector = TCPConnector(limit=0, force_close=True, socket_factory=new_socket)
    session = ClientSession(connector=connector, cookie_jar=DummyCookieJar(), auto_decompress=False)
    # aiohttp repeats requests with idempotent methods after a broken connection. A PUT to a service
    # or a conditional write must not be repeated. There is no public option; a test covers this.
    session._retry_connection = False
    return session
