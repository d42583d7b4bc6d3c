"""Network transport: HTTP with callers, endpoints and the platform; pynng between daemons.

The client and server of the product's own interface are imported on first use: their libraries
take half of a relay daemon's start, and the relay uses neither.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from ragwortpaddled.transport._address import parse_address
from ragwortpaddled.transport._http1_client import (
    Http1Client,
    Http1Connection,
    Http1Pool,
    RawHeaders,
    ResponseHead,
)
from ragwortpaddled.transport._http1_server import (
    CallerLimits,
    Http1Server,
    Responder,
    ServerRequest,
)
from ragwortpaddled.transport._http_messages import (
    Headers,
    HttpExchange,
    HttpReply,
    first_value,
    without_hop_by_hop_headers,
)
from ragwortpaddled.transport._keyring import KeyRing
from ragwortpaddled.transport._loop_clock import (
    LoopClock,
    loop_clock,
    running_timeout,
    wait_running,
)
from ragwortpaddled.transport._message_memory import message_memory
from ragwortpaddled.transport._peer_socket import PeerClient, PeerHandler, PeerServer

if TYPE_CHECKING:
    from ragwortpaddled.transport._http_client import HttpClient
    from ragwortpaddled.transport._http_server import HttpServer

__all__ = [
    "CallerLimits",
    "Headers",
    "Http1Client",
    "Http1Connection",
    "Http1Pool",
    "Http1Server",
    "HttpClient",
    "HttpExchange",
    "HttpReply",
    "HttpServer",
    "KeyRing",
    "LoopClock",
    "PeerClient",
    "PeerHandler",
    "PeerServer",
    "RawHeaders",
    "Responder",
    "ResponseHead",
    "ServerRequest",
    "first_value",
    "loop_clock",
    "message_memory",
    "parse_address",
    "running_timeout",
    "wait_running",
    "without_hop_by_hop_headers",
]

_MODULE_BY_NAME = {"HttpClient": "_http_client", "HttpServer": "_http_server"}


def __getattr__(name: str) -> Any:
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULE_BY_NAME[name]}"), name)
