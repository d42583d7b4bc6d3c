"""Serves the HTTP application of a stand-in on a loopback address."""

import asyncio

import uvicorn
from blacksheep import Application, Content, Request, Response
from msgspec import json
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

JSON_CONTENT_TYPE = b"application/json"
_TRANSPORT_KEY = "standin.transport"


class ConnectionDroppedError(Exception):
    """Aborts the handling of a request whose connection was reset."""


class _ResettableProtocol(HttpToolsProtocol):
    """Passes the transport to handlers, so that they can reset their connection."""

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope[_TRANSPORT_KEY] = self.transport  # type: ignore[literal-required]


def reset_connection(request: Request) -> None:
    """Reset the connection of a request without sending a response.

    :raises ConnectionDroppedError: always, to end the handler
    """
    request.scope[_TRANSPORT_KEY].abort()  # type: ignore[literal-required]
    raise ConnectionDroppedError


def json_response(value: object, status: int = 200) -> Response:
    """Build a response with a JSON body."""
    return Response(status, content=Content(JSON_CONTENT_TYPE, json.encode(value)))


def serve(application: Application, listen: str) -> None:
    """Serve an application on a ``host:port`` until SIGTERM or SIGINT."""
    host, _, port = listen.rpartition(":")
    config = uvicorn.Config(
        application,
        host=host,
        port=int(port),
        http=_ResettableProtocol,
        log_level="error",
        access_log=False,
        timeout_graceful_shutdown=1,
    )
    asyncio.run(uvicorn.Server(config).serve())
