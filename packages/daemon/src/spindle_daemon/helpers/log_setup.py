"""Setup of structured logging."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from spindle_daemon.helpers.log_writer import LogWriter

LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def setup_logging(level: str, instance: str) -> None:
    """Log one JSON object per line, with the instance's name, to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(LOG_FIELDS, static_fields={"instance": instance}))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())


def setup_stdout_logging(level: str, instance: str) -> None:
    """Log one JSON object per line to standard output without blocking the event loop."""
    writer = LogWriter(sys.stdout.fileno())
    writer.setFormatter(JsonFormatter("%(levelname)s %(message)s", static_fields={"at": instance}))
    writer.start()
    root = logging.getLogger()
    root.handlers = [writer]
    root.setLevel(level.upper())
