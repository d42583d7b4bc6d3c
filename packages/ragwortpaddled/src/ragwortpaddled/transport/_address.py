"""Parses the addresses of other processes."""

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``.

    :raises ValueError: the host is empty, or the port is not a number from 1 to ``MAX_PORT``
    """
    host, _, port = address.rpartition(":")
    digits = port if port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS else "0"
    if not host or not 1 <= int(digits) <= MAX_PORT:
        raise ValueError(f"host is empty or port is not between 1 and {MAX_PORT}")
    return host, int(digits)
