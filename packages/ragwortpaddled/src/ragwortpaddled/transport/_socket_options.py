"""Options of every TCP socket, so that a connection that fell silent is noticed."""

import socket

# A silent connection is given up after about 3 s, which is the platform's own contact bound.
KEEP_ALIVE_IDLE_SECONDS = 1
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 3000


def set_options(connection: socket.socket) -> None:
    """Send small writes at once and probe the peer while nothing arrives."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def new_socket(info: tuple) -> socket.socket:
    """Return a socket for an address of ``getaddrinfo``, with the options set."""
    family, kind, protocol = info[:3]
    connection = socket.socket(family, kind, protocol)
    set_options(connection)
    return connection
