"""Requests and replies between daemons over pynng, authenticated with the key ring."""

import asyncio
import contextlib
import logging
import secrets
import socket
from collections.abc import Awaitable, Callable

import pynng

from ragwortpaddled.errors import NotSentError, PeerRefusedError, ReplyLostError
from ragwortpaddled.transport._keyring import KeyRing
from ragwortpaddled.transport._loop_clock import running_timeout

MAX_CONCURRENT_REQUESTS = 16
NONCE_BYTES = 12
REQUEST_CONTEXT_PREFIX = b"request:"
REPLY_CONTEXT_PREFIX = b"reply:"
REFUSED_REPLY = b"refused"  # not empty, because pynng cannot receive an empty message
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000

logger = logging.getLogger(__name__)

PeerHandler = Callable[[bytes], Awaitable[bytes]]


class PeerServer:
    """Receives requests of other daemons and sends the replies of a handler."""

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
        """Start to handle requests, ``MAX_CONCURRENT_REQUESTS`` at a time."""
        for _ in range(MAX_CONCURRENT_REQUESTS):
            self._tasks.append(asyncio.create_task(self._serve(self._socket.new_context())))

    async def close(self) -> None:
        """Stop handling requests and close the listener."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._socket.close()

    async def _serve(self, context: pynng.Context) -> None:
        with context:
            # pynng can swallow a cancellation that coincides with an incoming message, so the loop
            # also checks a flag.
            while not self._closing:
                try:
                    reply = await self._handle_message(await context.arecv())
                    await context.asend(reply)
                except pynng.Closed:
                    return
                except pynng.NNGException as error:
                    logger.debug("cannot exchange messages with a peer: %s", error)

    async def _handle_message(self, data: bytes) -> bytes:
        try:
            body, context = self._keys.verify(data)
            if not context.startswith(REQUEST_CONTEXT_PREFIX):
                raise PeerRefusedError("not a request")
        except PeerRefusedError:
            self.refused += 1
            return REFUSED_REPLY
        nonce = context.removeprefix(REQUEST_CONTEXT_PREFIX)
        try:
            reply = await self._handler(body)
        except Exception:
            logger.exception("unhandled error in the handler of a peer request")
            return REFUSED_REPLY
        return self._keys.sign(reply, REPLY_CONTEXT_PREFIX + nonce)


class PeerClient:
    """A client of one other daemon.

    :raises NotSentError: the address is invalid
    """

    def __init__(self, address: str, keys: KeyRing) -> None:
        self.address = address
        self._keys = keys
        self._socket = pynng.Req0(
            resend_time=-1,
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            self._socket.dial(f"tcp://{address}", block=False)
        except (pynng.NNGException, ValueError) as error:
            self._socket.close()
            raise NotSentError(f"invalid address: {error!r}") from error

    async def request(self, body: bytes, timeout_seconds: float) -> bytes:
        """Send a request and return its reply.

        ``timeout_seconds`` applies to sending and to receiving separately.

        :raises NotSentError: no connection accepted the request
        :raises ReplyLostError: no reply arrived; the peer may have handled the request
        :raises PeerRefusedError: the reply is not authentic or the peer rejected the request
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        message = self._keys.sign(body, REQUEST_CONTEXT_PREFIX + nonce)
        try:
            context = self._socket.new_context()
        except pynng.NNGException as error:
            raise NotSentError(f"{self.address}: {error!r}") from error
        try:
            data = await self._exchange(context, message, timeout_seconds)
        finally:
            # The context is closed already if the client was closed during the exchange.
            with contextlib.suppress(pynng.Closed):
                context.close()
        if data == REFUSED_REPLY:
            raise PeerRefusedError(f"{self.address} rejected the request")
        reply, _ = self._keys.verify(data, REPLY_CONTEXT_PREFIX + nonce)
        return reply

    async def _exchange(
        self, context: pynng.Context, message: bytes, timeout_seconds: float
    ) -> bytes:
        try:
            async with running_timeout(timeout_seconds):
                await context.asend(message)
        except (TimeoutError, pynng.NNGException) as error:
            raise NotSentError(f"{self.address}: {error!r}") from error
        try:
            async with running_timeout(timeout_seconds):
                return await context.arecv()
        except (TimeoutError, pynng.NNGException) as error:
            raise ReplyLostError(f"{self.address}: {error!r}") from error

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
