"""Client connections to other daemons."""

import time

from ragwortpaddled.protocol import (
    PeerMessage,
    decode_message,
    encode_message,
)
from ragwortpaddled.telemetry import tracer
from ragwortpaddled.transport import KeyRing, PeerClient

IDLE_TIMEOUT_SECONDS = 30.0


class PeerLinks:
    """Client connections to other daemons, opened on first use."""

    def __init__(self, keys: KeyRing) -> None:
        self._keys = keys
        self._client_by_address: dict[str, PeerClient] = {}
        self._last_used_at_by_address: dict[str, float] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0

    async def request(
        self, address: str, message: PeerMessage, timeout_seconds: float
    ) -> PeerMessage:
        """Send a message and return its reply.

        :raises TransportError: no authentic, well-formed reply arrived within the timeout
        """
        client = self._client_by_address.get(address)
        if client is None:
            client = PeerClient(address, self._keys)
            self._client_by_address[address] = client
        self._last_used_at_by_address[address] = time.monotonic()
        body = encode_message(message)
        self.bytes_sent += len(body)
        self.messages_sent += 1
        with tracer.start_as_current_span(f"peer {type(message).__name__}"):
            reply = await client.request(body, timeout_seconds)
        self.bytes_received += len(reply)
        return decode_message(reply)

    def close_idle(self) -> None:
        """Close connections that have not been used within the idle timeout."""
        idle_since = time.monotonic() - IDLE_TIMEOUT_SECONDS
        for address, last_used_at in list(self._last_used_at_by_address.items()):
            if last_used_at < idle_since:
                del self._last_used_at_by_address[address]
                self._client_by_address.pop(address).close()

    def close(self) -> None:
        """Close every connection."""
        for client in self._client_by_address.values():
            client.close()
        self._client_by_address.clear()
        self._last_used_at_by_address.clear()
