"""Start and graceful shutdown of a process that serves routes in a fleet."""

import logging
import pathlib
from collections.abc import Callable

from spindle_daemon.components import admin, timeline
from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.process import end_process, read_key, wait_for_signal
from spindle_daemon.helpers.settings_watch import SettingsWatcher
from spindle_daemon.process_start import create_spindle
from spindle_daemon.settings.settings import Settings
from spindle_decisions.timeline.event_kind import EventKind

_LOGGER = logging.getLogger(__name__)

SetupRole = Callable[[Spindle, PlatformAdapter, AdminApplication], None]


def run_fleet(
    path: pathlib.Path, settings: Settings, adapter: PlatformAdapter, setup_role: SetupRole
) -> None:
    """Run the process until SIGTERM or SIGINT, then shut it down gracefully.

    `setup_role` is passed in, so that a process imports only the code of its own role.
    """
    key = read_key(settings)
    spindle = create_spindle(settings, key)
    app = admin.setup(spindle, key)
    timeline.register(spindle, app)
    _LOGGER.info(
        "daemon: started",
        extra={
            "event": "started",
            "role": settings.instance.role,
            "data_center": settings.instance.data_center,
        },
    )
    spindle.transport.start()
    SettingsWatcher(spindle, path).start()
    setup_role(spindle, adapter, app)
    wait_for_signal()
    _LOGGER.info("daemon: stopping", extra={"event": "stopping"})
    spindle.timeline.add(EventKind.PROCESS_STOPPING, "asked to stop")
    spindle.stop()
    _LOGGER.info("daemon: stopped", extra={"event": "stopped"})
    end_process()
