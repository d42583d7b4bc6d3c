"""Sets up logging: text or JSON lines, each with the request id where there is one."""

import json
import logging
import queue
import sys
from contextvars import ContextVar
from logging.handlers import QueueHandler, QueueListener

from ragwortpaddled import telemetry

MAX_QUEUED_RECORDS = 10_000  # about 3 MB of lines; a VM has 300 MB

request_id: ContextVar[str] = ContextVar("request_id", default="-")


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON line."""

    def format(self, record: logging.LogRecord) -> str:
        fields = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "logger": record.name,
            "request": getattr(record, "request_id", "-"),
            "message": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields)


class RequestIdFilter(logging.Filter):
    """Adds the current request id to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        if not hasattr(record, "request_id"):
            record.request_id = request_id.get()
        return True


class BoundedQueueHandler(QueueHandler):
    """Hands records to a writer thread, and counts what a full queue cannot take."""

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            telemetry.dropped_log_lines.add(1, {"event": record.getMessage()})


def log_to_stdout(level: str) -> QueueListener:
    """Send the daemon's records to standard output as JSON lines; a thread does the writing.

    The caller stops the returned listener, which writes what is left.
    """
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(JsonFormatter())
    records: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_RECORDS)
    handler = BoundedQueueHandler(records)
    handler.addFilter(RequestIdFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("ragwortpaddled").setLevel(level.upper())
    listener = QueueListener(records, writer)
    listener.start()
    return listener


def configure_logging(log_format: str, level: str) -> None:
    """Send the daemon's records to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RequestIdFilter())
    if log_format == "json":
        handler.setFormatter(JsonFormatter())
    else:
        text = "%(asctime)s %(levelname)s %(name)s [%(request_id)s] %(message)s"
        handler.setFormatter(logging.Formatter(text))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    # The HTTP library reports each caller that leaves as an error of the application.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    logging.getLogger("ragwortpaddled").setLevel(level.upper())
