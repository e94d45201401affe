"""Start and graceful shutdown of one process."""

import logging

from spindle_daemon.components import admin, timeline
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.process import end_process, read_key, wait_for_signal
from spindle_daemon.process_start import create_spindle
from spindle_daemon.settings.const import ROLE_CONTROL
from spindle_daemon.settings.settings import Settings
from spindle_decisions.exceptions import FrameError
from spindle_decisions.timeline.event_kind import EventKind

_LOGGER = logging.getLogger(__name__)


def run(settings: Settings) -> None:
    """Run the process until SIGTERM or SIGINT, then shut it down gracefully."""
    key = read_key(settings)
    spindle = create_spindle(settings, key)
    spindle.transport.on_bad_frame = lambda err: _record_bad_frame(spindle, err)
    _setup_role(spindle, key)
    spindle.transport.start()
    wait_for_signal()
    _LOGGER.info("daemon: stopping")
    spindle.timeline.add(EventKind.PROCESS_STOPPING, "asked to stop")
    spindle.stop()
    _LOGGER.info("daemon: stopped after %s ms", spindle.clock.wall_ms() - spindle.incarnation)
    end_process()


def _setup_role(spindle: Spindle, key: bytes) -> None:
    """Set up the role; only its own modules are imported, which shortens the start."""
    app = admin.setup(spindle, key)
    timeline.register(spindle, app)
    if spindle.settings.instance.role == ROLE_CONTROL:
        from spindle_daemon.daemon_control import setup_control

        setup_control(spindle, app)
        return
    from spindle_daemon.daemon_entry import setup_entry

    setup_entry(spindle)


def _record_bad_frame(spindle: Spindle, err: FrameError) -> None:
    spindle.timeline.add(EventKind.FRAME_DROPPED, str(err))
