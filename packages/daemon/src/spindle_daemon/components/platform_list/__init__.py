"""Reader of the platform's list of live and leaving upstreams, which may be outdated."""

import gevent

from spindle_daemon.components.platform_list.const import READ_INTERVAL_S
from spindle_daemon.components.platform_list.coordinator import PlatformListReader
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically


def setup(spindle: Spindle) -> None:
    """Start reading the list file, if the settings name one."""
    path = spindle.settings.platform_list
    if path is None:
        return
    reader = PlatformListReader(path, spindle.bus)
    gevent.spawn(run_periodically, "platform", lambda: READ_INTERVAL_S, reader.read)
