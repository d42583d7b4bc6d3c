"""Requests and replies between daemons over pynng, sealed with the key ring."""

import asyncio
import logging
import secrets
import socket
from collections.abc import Awaitable, Callable

import pynng

from ragwortpaddled.errors import NotSentError, PeerRefusedError, ReplyLostError
from ragwortpaddled.transport._keyring import KeyRing

REPLY_CONTEXTS = 16
NONCE_BYTES = 12
REQUEST_CONTEXT = b"request:"
REPLY_CONTEXT = b"reply:"
REFUSED = b"refused"  # the socket library cannot receive an empty message
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000

logger = logging.getLogger(__name__)

PeerHandler = Callable[[bytes], Awaitable[bytes]]


class PeerServer:
    """Answers the requests of other daemons."""

    def __init__(self, listen: str, keys: KeyRing, handler: PeerHandler) -> None:
        self.refused = 0
        self._keys = keys
        self._handler = handler
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        listener = self._socket.listen(f"tcp://{listen}")
        host = listen.rpartition(":")[0]
        self.address = f"{host}:{socket.ntohs(listener.local_address.port)}"
        self._tasks: list[asyncio.Task[None]] = []
        self._closing = False

    def start(self) -> None:
        """Start answering."""
        for _ in range(REPLY_CONTEXTS):
            self._tasks.append(asyncio.create_task(self._answer(self._socket.new_context())))

    async def close(self) -> None:
        """Stop answering and close the listener."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._socket.close()

    async def _answer(self, context: pynng.Context) -> None:
        with context:
            # The library loses a cancel that a message crosses, so the loop looks for itself.
            while not self._closing:
                try:
                    reply = await self._reply_to(await context.arecv())
                    await context.asend(reply)
                except pynng.Closed:
                    return
                except pynng.NNGException as error:
                    logger.debug("peer reply failed: %s", error)

    async def _reply_to(self, data: bytes) -> bytes:
        try:
            body, context = self._keys.open(data)
            if not context.startswith(REQUEST_CONTEXT):
                raise PeerRefusedError("not a request")
        except PeerRefusedError:
            self.refused += 1
            return REFUSED
        nonce = context.removeprefix(REQUEST_CONTEXT)
        try:
            answer = await self._handler(body)
        except Exception:
            logger.exception("peer request failed")
            return REFUSED
        return self._keys.seal(answer, REPLY_CONTEXT + nonce)


class PeerClient:
    """Sends requests to one other daemon."""

    def __init__(self, address: str, keys: KeyRing) -> None:
        self.address = address
        self._keys = keys
        self._socket = pynng.Req0(
            resend_time=-1,
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._socket.dial(f"tcp://{address}", block=False)

    async def request(self, body: bytes, timeout_seconds: float) -> bytes:
        """Send a request and return its reply.

        :raises NotSentError: the request could not be handed to a connection
        :raises ReplyLostError: the peer may have handled it
        :raises PeerRefusedError: the reply is not authentic or the peer refused the request
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        message = self._keys.seal(body, REQUEST_CONTEXT + nonce)
        with self._socket.new_context() as context:
            try:
                async with asyncio.timeout(timeout_seconds):
                    await context.asend(message)
            except (TimeoutError, pynng.NNGException) as error:
                raise NotSentError(f"{self.address}: {error!r}") from error
            try:
                async with asyncio.timeout(timeout_seconds):
                    data = await context.arecv()
            except (TimeoutError, pynng.NNGException) as error:
                raise ReplyLostError(f"{self.address}: {error!r}") from error
        if data == REFUSED:
            raise PeerRefusedError(f"{self.address} refused the message")
        reply, _ = self._keys.open(data, REPLY_CONTEXT + nonce)
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
