"""Configures logging as text or JSON lines that carry the id of the current request."""

import json
import logging
import queue
import sys
from contextvars import ContextVar
from logging.handlers import QueueHandler, QueueListener

from ragwortpaddled import telemetry

MAX_QUEUED_RECORDS = 10_000  # about 3 MB of log lines; a VM has 300 MB of memory

request_id: ContextVar[str] = ContextVar("request_id", default="-")


class JsonFormatter(logging.Formatter):
    """Formats a log record as one line of JSON."""

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
    """Adds the id of the current request to each log record."""

    def filter(self, record: logging.LogRecord) -> bool:
        if not hasattr(record, "request_id"):
            record.request_id = request_id.get()
        return True


class BoundedQueueHandler(QueueHandler):
    """Queues log records for a writer thread; drops and counts them while the queue is full."""

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a log record without blocking."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            telemetry.dropped_log_lines.add(1, {"event": record.getMessage()})


def start_stdout_logging(level: str) -> QueueListener:
    """Log to standard output as JSON lines, written by a separate thread.

    The caller must stop the returned listener, which writes the records still in the queue.
    """
    stdout_handler = logging.StreamHandler(sys.stdout)
    stdout_handler.setFormatter(JsonFormatter())
    record_queue: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_RECORDS)
    queue_handler = BoundedQueueHandler(record_queue)
    queue_handler.addFilter(RequestIdFilter())
    root = logging.getLogger()
    root.handlers[:] = [queue_handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("ragwortpaddled").setLevel(level.upper())
    listener = QueueListener(record_queue, stdout_handler)
    listener.start()
    return listener


def configure_stderr_logging(log_format: str, level: str) -> None:
    """Log to standard error as text or, if ``log_format`` is "json", as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RequestIdFilter())
    if log_format == "json":
        handler.setFormatter(JsonFormatter())
    else:
        line_format = "%(asctime)s %(levelname)s %(name)s [%(request_id)s] %(message)s"
        handler.setFormatter(logging.Formatter(line_format))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    # uvicorn logs an application error for each client that disconnects during a request.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    logging.getLogger("ragwortpaddled").setLevel(level.upper())
