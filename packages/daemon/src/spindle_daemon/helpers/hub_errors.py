"""Log lines for errors that end a greenlet or a task of the thread pool."""

import logging
import traceback
from types import TracebackType

import gevent

_LOGGER = logging.getLogger(__name__)

MAX_REASON_CHARS = 400
MAX_TRACE_CHARS = 4_000


def log_hub_errors() -> None:
    """Make the event loop log uncaught errors, instead of printing them as raw text.

    Such an error ends only its own greenlet. The line names the greenlet or the callback
    and has the end of the traceback.
    """
    gevent.get_hub().print_exception = _log_error


def _log_error(
    context: object,
    error_type: type[BaseException] | None,
    error: BaseException | None,
    trace: TracebackType | None,
) -> None:
    name = getattr(error_type, "__name__", "error")
    lines = traceback.format_exception(error_type, error, trace) if error is not None else []
    _LOGGER.error(
        "daemon: a task failed: %s",
        name,
        extra={
            "event": "task-failed",
            "task": str(context)[:MAX_REASON_CHARS],
            "reason": f"{name}: {error}"[:MAX_REASON_CHARS],
            "trace": "".join(lines)[-MAX_TRACE_CHARS:],
        },
    )
