"""Sends HTTP requests and tells a request that was never sent from one whose reply was lost."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from blacksheep import Content, Request
from blacksheep.client import ClientSession
from blacksheep.client.exceptions import ConnectionTimeout

from ragwortpaddled.errors import NotSentError, ReplyLostError, ReplyTimeoutError

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 4.0  # below the 5 s after which common servers close an idle connection

Headers = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole reply."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None


class HttpClient:
    """Exchanges one request for one whole reply, and never sends a request twice."""

    def __init__(self) -> None:
        self._session = self._new_session()

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
        if not fresh_connection:
            return await self._send(
                self._session, method, url, body, content_type, headers, timeout_seconds
            )
        session = self._new_session()
        try:
            return await self._send(
                session, method, url, body, content_type, headers, timeout_seconds
            )
        finally:
            await session.close()

    async def close(self) -> None:
        """Close the pooled connections."""
        await self._session.close()

    @staticmethod
    def _new_session() -> ClientSession:
        # The library's own retries would send a non-idempotent request twice.
        return ClientSession(
            http2=False,
            follow_redirects=False,
            cookie_jar=False,
            connection_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=3600.0,
            max_connection_retries=0,
            idle_timeout=IDLE_TIMEOUT_SECONDS,
        )

    @staticmethod
    async def _send(
        session: ClientSession,
        method: str,
        url: str,
        body: bytes,
        content_type: bytes,
        headers: Headers,
        timeout_seconds: float,
    ) -> HttpReply:
        content = Content(content_type, body) if body else None
        request = Request(method, url.encode(), list(headers))
        if content is not None:
            request = request.with_content(content)
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await session.send(request)
                payload = await response.read()
        except (ConnectionRefusedError, ConnectionTimeout) as error:
            raise NotSentError(f"{url}: {error}") from error
        except TimeoutError as error:
            raise ReplyTimeoutError(f"{url}: no reply within {timeout_seconds:.3f} s") from error
        except Exception as error:
            raise ReplyLostError(f"{url}: {type(error).__name__}: {error}") from error
        return HttpReply(response.status, tuple(response.headers), payload or b"")
