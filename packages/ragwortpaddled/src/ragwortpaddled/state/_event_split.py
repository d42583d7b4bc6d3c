"""Splits a stream of events into whole events, so that a torn one is never passed on."""

import re

# A blank line ends an event, whichever of the line ends of the format is used.
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Holds back the part of an event that has arrived."""

    def __init__(self) -> None:
        self.last_id = ""
        self._partial = b""

    @property
    def torn(self) -> bool:
        """Tell whether a part of an event is held back."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return the events that are whole."""
        self._partial += data
        end = 0
        for match in _EVENT_END.finditer(self._partial):
            end = match.end()
        whole, self._partial = self._partial[:end], self._partial[end:]
        ids = _EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def drop_partial(self) -> None:
        """Forget the part of an event whose sender failed."""
        self._partial = b""
