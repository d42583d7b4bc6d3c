"""Splits a stream of server-sent events, so that only complete events are forwarded."""

import re

# A blank line ends an event; the format allows CRLF, LF and CR line ends.
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_END_BYTES = 4
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Buffers an incomplete event until the rest has arrived.

    The time that ``feed`` takes depends on the new bytes and not on the buffered ones, since a
    sender may split an event into many pieces. ``last_id`` is the id of the last complete event
    that has one.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self._partial = bytearray()

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
        # The buffered bytes hold no end of an event, but may hold all of one but its last byte.
        searched_bytes = max(0, len(self._partial) - _MAX_END_BYTES + 1)
        self._partial += data
        end = 0
        for match in _EVENT_END.finditer(self._partial, searched_bytes):
            end = match.end()
        if not end:
            return b""
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def discard_partial(self) -> None:
        """Discard the incomplete event of a sender that failed."""
        self._partial.clear()
