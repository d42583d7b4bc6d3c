"""Sets up logging: text or JSON lines, each with the request id where there is one."""

import json
import logging
import sys
from contextvars import ContextVar

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
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields)


class RequestIdFilter(logging.Filter):
    """Adds the current request id to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        record.request_id = request_id.get()
        return True


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
