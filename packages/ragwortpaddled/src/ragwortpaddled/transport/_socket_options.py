"""Options of all TCP sockets, so that a peer that no longer responds is detected."""

import socket

# A connection fails after about 3 s without a response, which is also the platform's own limit
# for contact with a VM.
KEEP_ALIVE_IDLE_SECONDS = 1
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3000


def set_options(connection: socket.socket) -> None:
    """Send small writes without delay and probe an idle peer; fail if it does not respond."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def new_socket(info: tuple) -> socket.socket:
    """Return a socket with the options set, for an address that ``getaddrinfo`` returned."""
    family, kind, protocol = info[:3]
    connection = socket.socket(family, kind, protocol)
    set_options(connection)
    return connection
