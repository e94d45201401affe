"""Reloading of the settings file."""

import logging
import pathlib
import signal

import gevent

from spindle_daemon.core.settings_reloaded import SettingsReloaded
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically
from spindle_daemon.settings.loader import load_settings
from spindle_decisions.exceptions import SettingsError

_LOGGER = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0


class SettingsWatcher:
    """Reloads the settings file on SIGHUP and when polling finds it changed.

    Invalid settings are logged and the previous ones stay in force.
    """

    def __init__(self, spindle: Spindle, path: pathlib.Path) -> None:
        self.spindle = spindle
        self.path = path
        self.file_version = self._read_file_version()

    def start(self) -> None:
        """Install the signal handler and start polling the file."""
        gevent.signal_handler(signal.SIGHUP, self.reload, "signal")
        gevent.spawn(run_periodically, "settings", lambda: POLL_INTERVAL_S, self._check_file)

    def reload(self, reason: str) -> None:
        """Read the file and fire `SettingsReloaded` if the settings differ."""
        self.file_version = self._read_file_version()
        try:
            settings = load_settings(self.path)
        except SettingsError as err:
            _LOGGER.error(
                "settings: invalid, previous ones stay in force: %s",
                str(err)[:200],
                extra={"event": "bad-settings"},
            )
            return
        changed = settings != self.spindle.settings
        _LOGGER.info(
            "settings: reloaded", extra={"event": "reload", "reason": reason, "changed": changed}
        )
        if changed:
            self.spindle.settings = settings
            self.spindle.bus.fire(SettingsReloaded(settings))

    def _check_file(self) -> None:
        file_version = self._read_file_version()
        if file_version is not None and file_version != self.file_version:
            self.reload("changed file")

    def _read_file_version(self) -> tuple[int, int, int] | None:
        try:
            found = self.path.stat()
        except OSError as err:
            _LOGGER.debug("settings: cannot get the file status: %s", err)
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino
