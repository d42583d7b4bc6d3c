"""HTTP server for an ASGI application, which the daemon itself starts and stops."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import uvicorn
from blacksheep import Application
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

MAX_HEADER_BYTES = 64 * 1024
IDLE_TIMEOUT_SECONDS = 15
START_POLL_SECONDS = 0.01

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
    """Rejects headers that are too large, and cancels the handler of a caller that disconnects.

    uvicorn does not limit the size of headers and does not cancel handlers on a disconnect.
    """

    _header_bytes = 0
    _reading_headers = True
    _handler_task: asyncio.Task[None] | None = None

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._header_bytes = 0
        self._reading_headers = True

    def on_headers_complete(self) -> None:
        self._reading_headers = False
        super().on_headers_complete()

    def data_received(self, data: bytes) -> None:
        if self._reading_headers:
            self._header_bytes += len(data)
        super().data_received(data)
        if self._reading_headers and self._header_bytes > MAX_HEADER_BYTES:
            self._reject_headers()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._handler_task is not None:
            self._handler_task.cancel()
        super().connection_lost(exc)

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        self._handler_task = self.loop.create_task(cycle.run_asgi(app))
        self._handler_task.add_done_callback(self.tasks.discard)
        self.tasks.add(self._handler_task)

    def _reject_headers(self) -> None:
        if self.transport.is_closing():
            return
        body = _HEADERS_TOO_LARGE_BODY
        self.transport.write(_HEADERS_TOO_LARGE % (len(body), body))
        self.transport.close()


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers; the daemon installs its own."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """An HTTP server for one application."""

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
            timeout_keep_alive=IDLE_TIMEOUT_SECONDS,
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
                raise OSError(f"cannot listen on port {self._server.config.port}")
            await asyncio.sleep(START_POLL_SECONDS)

    async def stop(self) -> None:
        """Stop listening, close idle connections and wait until running requests have completed."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    def abort(self) -> None:
        """Make ``stop`` return without waiting for running requests."""
        self._server.force_exit = True
