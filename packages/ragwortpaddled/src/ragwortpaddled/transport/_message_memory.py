"""Bounds the memory of all messages that the process is receiving.

Load pattern: faulty endpoints or callers that send bodies without end. A bound for each message
does not bound the memory of many of them.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable
from weakref import WeakKeyDictionary

MAX_RETAINED_BYTES = 24 * 1024 * 1024  # a copy for the caller may take the same again

logger = logging.getLogger(__name__)


class RetainedMessage:
    """The bytes that a connection retains of the message that it is receiving.

    ``ended`` tells the reader that the message was ended to free its memory.
    """

    def __init__(self, memory: "MessageMemory", source: str, on_end: Callable[[], object]) -> None:
        """``source`` is the sender's address; ``on_end`` wakes the reader of an ended message."""
        self.source = source
        self.size = 0
        self.complete = False  # a complete message is not ended
        self.ended = False
        self._memory = memory
        self._on_end = on_end

    def retain(self, size: int) -> None:
        """Set the number of bytes that are retained now; may end this message or another one."""
        if not self.ended and size != self.size:
            self._memory.resize(self, size)

    def release(self) -> None:
        """Retain nothing, and be ready for the connection's next message."""
        self.retain(0)
        self.complete = False
        self.ended = False

    def end(self) -> None:
        """End the message to free its memory."""
        self.retain(0)
        self.ended = True
        self._on_end()


class MessageMemory:
    """The retained bytes of all messages, at most ``max_bytes`` of incomplete ones.

    Beyond that, the source that retains the most loses its largest incomplete message, so that
    messages without end from one endpoint do not cost the long ones of others.
    """

    def __init__(self, max_bytes: int = MAX_RETAINED_BYTES) -> None:
        self.max_bytes = max_bytes
        self.retained_bytes = 0
        self._messages_by_source: defaultdict[str, set[RetainedMessage]] = defaultdict(set)

    def resize(self, message: RetainedMessage, size: int) -> None:
        """Record the size of a message; end incomplete ones while the limit is exceeded."""
        self.retained_bytes += size - message.size
        message.size = size
        if size:
            self._messages_by_source[message.source].add(message)
        else:
            self._messages_by_source[message.source].discard(message)
            if not self._messages_by_source[message.source]:
                del self._messages_by_source[message.source]
        while self.retained_bytes > self.max_bytes and (largest := self._largest_incomplete()):
            fields = {
                "source": largest.source,
                "bytes": largest.size,
                "retained_bytes": self.retained_bytes,
                "max_bytes": self.max_bytes,
            }
            logger.warning("incomplete message ended to free memory", extra={"fields": fields})
            largest.end()

    def _largest_incomplete(self) -> RetainedMessage | None:
        incomplete_by_source = {
            source: [message for message in messages if not message.complete]
            for source, messages in self._messages_by_source.items()
        }
        of_largest_source = max(
            incomplete_by_source.values(),
            key=lambda messages: sum(message.size for message in messages),
            default=[],
        )
        return max(of_largest_source, key=lambda message: message.size, default=None)


_memory_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, MessageMemory] = WeakKeyDictionary()


def message_memory() -> MessageMemory:
    """Return the memory that all connections of the running event loop share."""
    loop = asyncio.get_running_loop()
    memory = _memory_by_loop.get(loop)
    if memory is None:
        memory = _memory_by_loop[loop] = MessageMemory()
    return memory
