"""Network transport: HTTP with callers, endpoints and the platform; pynng between daemons."""

from ragwortpaddled.transport._http1_client import (
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
from ragwortpaddled.transport._http_client import HttpClient, HttpReply
from ragwortpaddled.transport._http_server import HttpServer
from ragwortpaddled.transport._keyring import KeyRing
from ragwortpaddled.transport._peer_socket import PeerClient, PeerHandler, PeerServer

__all__ = [
    "CallerLimits",
    "Http1Connection",
    "Http1Pool",
    "Http1Server",
    "HttpClient",
    "HttpReply",
    "HttpServer",
    "KeyRing",
    "PeerClient",
    "PeerHandler",
    "PeerServer",
    "RawHeaders",
    "Responder",
    "ResponseHead",
    "ServerRequest",
]
