"""Serves a stand-in's application on a loopback address."""

import asyncio

import uvicorn
from blacksheep import Application, Content, Request, Response
from msgspec import json
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

JSON = b"application/json"
_TRANSPORT = "standin.transport"


class ConnectionDroppedError(Exception):
    """Ends the handling of a request whose connection was dropped."""


class _DroppableProtocol(HttpToolsProtocol):
    """Lets a handler reset its own connection."""

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope[_TRANSPORT] = self.transport  # type: ignore[literal-required]


def drop_connection(request: Request) -> None:
    """Reset the connection of a request without a reply."""
    request.scope[_TRANSPORT].abort()  # type: ignore[literal-required]
    raise ConnectionDroppedError


def reply(value: object, status: int = 200) -> Response:
    """Build a JSON response."""
    return Response(status, content=Content(JSON, json.encode(value)))


def serve(application: Application, listen: str) -> None:
    """Serve until SIGTERM or SIGINT."""
    host, _, port = listen.rpartition(":")
    config = uvicorn.Config(
        application,
        host=host,
        port=int(port),
        http=_DroppableProtocol,
        log_level="error",
        access_log=False,
        timeout_graceful_shutdown=1,
    )
    asyncio.run(uvicorn.Server(config).serve())
