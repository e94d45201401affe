"""The event loop of development processes."""

import signal

import gevent
from gevent.event import Event

from spindle_decisions.exceptions import SpindleError

_BACKEND = "epoll"


def check_loop() -> None:
    """Raise `SpindleError` unless gevent runs on libev with epoll."""
    backend = str(getattr(gevent.get_hub().loop, "backend", "unknown"))
    if backend != _BACKEND:
        raise SpindleError(f"gevent loop uses {backend}, expected {_BACKEND}")


def wait_for_stop() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    stop_requested = Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    gevent.signal_handler(signal.SIGINT, stop_requested.set)
    stop_requested.wait()
