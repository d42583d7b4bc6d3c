"""Carries bytes: HTTP towards the outside, pynng between daemons."""

from ragwortpaddled.transport._http_client import HttpClient, HttpReply
from ragwortpaddled.transport._http_server import HttpServer
from ragwortpaddled.transport._keyring import KeyRing
from ragwortpaddled.transport._peer_socket import PeerClient, PeerHandler, PeerServer

__all__ = [
    "HttpClient",
    "HttpReply",
    "HttpServer",
    "KeyRing",
    "PeerClient",
    "PeerHandler",
    "PeerServer",
]
