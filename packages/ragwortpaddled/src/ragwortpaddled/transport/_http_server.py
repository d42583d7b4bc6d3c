"""Serves an HTTP application under the daemon's own control of start and stop."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import uvicorn
from blacksheep import Application
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

MAX_HEADER_BYTES = 64 * 1024
KEEP_ALIVE_SECONDS = 15
TICK_SECONDS = 0.01

_HEADERS_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Ragwortpaddle-Executed: no\r\nContent-Type: application/json\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n%s"
)
_HEADERS_TOO_LARGE_BODY = (
    b'{"error":{"message":"the request headers exceed 65536 bytes",'
    b'"type":"invalid_request_error","code":"headers_too_large","executed":"no"}}'
)


class _CallerProtocol(HttpToolsProtocol):
    """Refuses headers over the bound, and cancels the handling of a caller that left.

    The library sets no bound, and lets a handler run on after its connection is gone.
    """

    _head_bytes = 0
    _in_head = True
    _task: asyncio.Task[None] | None = None

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._head_bytes = 0
        self._in_head = True

    def on_headers_complete(self) -> None:
        self._in_head = False
        super().on_headers_complete()

    def data_received(self, data: bytes) -> None:
        if self._in_head:
            self._head_bytes += len(data)
        super().data_received(data)
        if self._in_head and self._head_bytes > MAX_HEADER_BYTES:
            self._refuse()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._task is not None:
            self._task.cancel()
        super().connection_lost(exc)

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        self._task = self.loop.create_task(cycle.run_asgi(app))
        self._task.add_done_callback(self.tasks.discard)
        self.tasks.add(self._task)

    def _refuse(self) -> None:
        if self.transport.is_closing():
            return
        body = _HEADERS_TOO_LARGE_BODY
        self.transport.write(_HEADERS_TOO_LARGE % (len(body), body))
        self.transport.close()


class _Server(uvicorn.Server):
    """Leaves signals to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """A listener for one application."""

    def __init__(self, application: Application, listen: str) -> None:
        host, _, port = listen.rpartition(":")
        config = uvicorn.Config(
            application,
            host=host,
            port=int(port),
            http=_CallerProtocol,
            ws="none",
            log_config=None,
            access_log=False,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            backlog=4096,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening.

        :raises OSError: the address cannot be bound
        """
        self._task = asyncio.create_task(self._server.serve(), name="http-server")
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError(f"cannot listen on {self._server.config.port}")
            await asyncio.sleep(TICK_SECONDS)

    async def stop(self) -> None:
        """Stop listening and close idle connections; running requests go on to their end."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    def abort(self) -> None:
        """Make a running stop end without waiting for requests."""
        self._server.force_exit = True
