"""Reads the shared key, waits for a stop signal and ends the process."""

import logging
import os
import signal

import gevent
from gevent.event import Event

from spindle_daemon.settings.settings import Settings
from spindle_decisions.exceptions import SettingsError

MIN_KEY_BYTES = 16
# In this time, the threads of the mesh sockets write the frames that are queued.
SEND_TIME_S = 0.05


def read_key(settings: Settings) -> bytes:
    """Read the shared key; raise `SettingsError` when it is missing or too short."""
    path = settings.instance.key_file
    try:
        key = path.read_bytes().strip()
    except OSError as err:
        raise SettingsError(f"[instance] key-file = {path}: cannot be read: {err}") from err
    if len(key) < MIN_KEY_BYTES:
        raise SettingsError(
            f"[instance] key-file = {path}: allowed: at least {MIN_KEY_BYTES} bytes"
        )
    return key


def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    stop.wait()


def end_process() -> None:
    """End the process with code 0 after queued frames and log lines are written.

    The interpreter's own exit would tear down the mesh sockets while their threads use
    them, which aborts the process now and then.
    """
    gevent.sleep(SEND_TIME_S)
    logging.shutdown()
    os._exit(0)
