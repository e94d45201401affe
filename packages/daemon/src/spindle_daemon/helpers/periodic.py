"""Work that is repeated for the lifetime of the process."""

import logging
from collections.abc import Callable

import gevent

_LOGGER = logging.getLogger(__name__)


def run_periodically(
    component: str, interval_s: Callable[[], float], step: Callable[[], None]
) -> None:
    """Call `step` forever, with a pause of `interval_s()` seconds after each call.

    An exception is logged with `component` as prefix and `step` is called again after
    the pause, so that one bad message or value does not end work that others rely on.
    """
    while True:
        try:
            step()
        except Exception:
            _LOGGER.exception("%s: step failed", component)
        gevent.sleep(interval_s())
