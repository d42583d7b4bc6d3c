"""Runs a daemon that reaches the endpoints over links of its own.

Usage: ``python _linked_daemon.py LINK_HOST PLATFORM``. Endpoints are registered at ENDPOINT_HOST,
where nothing listens; the process connects to the same port at LINK_HOST instead. A connection over
a cut link thus fails or hangs within ``connect``, as it does on a network. A proxy that only learns
from an accepted connection who opened it would be too late: the daemon is connected by then.
"""

import runpy
import signal
import sys

ENDPOINT_HOST = "127.0.1.100"


def main() -> None:
    """Redirect the connections to endpoints and run the daemon."""
    # As the entry point of the daemon does: importing asyncio takes a while.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import asyncio
    import socket

    link_host, program = sys.argv[1:]
    connect = asyncio.SelectorEventLoop.sock_connect

    async def connect_over_link(
        loop: asyncio.SelectorEventLoop, sock: socket.socket, address: tuple[str, int]
    ) -> None:
        host, port = address
        await connect(loop, sock, (link_host if host == ENDPOINT_HOST else host, port))

    asyncio.SelectorEventLoop.sock_connect = connect_over_link  # type: ignore
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
