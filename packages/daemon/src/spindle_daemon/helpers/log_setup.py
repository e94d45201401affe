"""Structured logs."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def setup_logging(level: str, instance: str) -> None:
    """Write one JSON object per line to standard error, with the instance in each."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(LOG_FIELDS, static_fields={"instance": instance}))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
