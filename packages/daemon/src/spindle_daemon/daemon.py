"""Start and graceful shutdown of one process."""

import logging

from spindle_daemon.components import account as account_component
from spindle_daemon.components import (
    admin,
    control,
    control_link,
    platform_list,
    timeline,
)
from spindle_daemon.components import entry_http as entry_http_component
from spindle_daemon.components import serving as serving_component
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.process import read_key, wait_for_signal
from spindle_daemon.process_start import create_spindle
from spindle_daemon.settings.const import ROLE_CONTROL
from spindle_daemon.settings.settings import Settings
from spindle_daemon.storage.summary_files import SummaryFiles, create_summary_files
from spindle_decisions.exceptions import FrameError
from spindle_decisions.timeline.event_kind import EventKind

_LOGGER = logging.getLogger(__name__)

SUMMARY_DIR = "summaries"


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
    spindle.transport.close()
    _LOGGER.info("daemon: stopped after %s ms", spindle.clock.wall_ms() - spindle.incarnation)


def _setup_role(spindle: Spindle, key: bytes) -> None:
    app = admin.setup(spindle, key)
    timeline.register(spindle, app)
    settings = spindle.settings
    if settings.instance.role == ROLE_CONTROL:
        folder = control.setup(spindle, app)
        spindle.add_stop_hook(folder.close)
        account_component.setup_control(spindle, app, _summary_sink(settings))
        return
    link = control_link.setup(spindle)
    spindle.add_stop_hook(link.send_leave)
    account_component.setup(spindle)
    coordinator = serving_component.setup(spindle)
    platform_list.setup(spindle)
    entry_http_component.setup(spindle, coordinator)


def _summary_sink(settings: Settings) -> SummaryFiles:
    assert settings.instance.data_dir is not None
    return create_summary_files(settings.instance.data_dir / SUMMARY_DIR)


def _record_bad_frame(spindle: Spindle, err: FrameError) -> None:
    spindle.timeline.add(EventKind.FRAME_DROPPED, str(err))
