"""Splits a stream of server-sent events, so that only complete events are forwarded."""

import re

# A blank line ends an event; the format allows CRLF, LF and CR line ends.
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Buffers an incomplete event until the rest has arrived.

    ``last_id`` is the id of the last complete event that has one.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self._partial = b""

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that are complete."""
        self._partial += data
        end = 0
        for match in _EVENT_END.finditer(self._partial):
            end = match.end()
        complete, self._partial = self._partial[:end], self._partial[end:]
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def discard_partial(self) -> None:
        """Discard the incomplete event of a sender that failed."""
        self._partial = b""
