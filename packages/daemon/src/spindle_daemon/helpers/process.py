"""Reads the shared key and waits for a stop signal."""

import signal

import gevent
from gevent.event import Event

from spindle_daemon.settings.settings import Settings
from spindle_decisions.exceptions import SettingsError

MIN_KEY_BYTES = 16


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
