"""Work that is repeated for the life of the process."""

import logging
from collections.abc import Callable

import gevent

_LOGGER = logging.getLogger(__name__)


def run_periodically(
    component: str, interval_s: Callable[[], float], step: Callable[[], None]
) -> None:
    """Call `step` for ever, `interval_s()` seconds apart.

    A step that raises is logged with the prefix of its part and repeated at the
    next period, so that one bad message or value cannot end what others rely on.
    """
    while True:
        try:
            step()
        except Exception:
            _LOGGER.exception("%s: step failed", component)
        gevent.sleep(interval_s())
