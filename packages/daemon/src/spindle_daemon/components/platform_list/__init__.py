"""The platform's list of live and leaving upstreams, as a lagging hint."""

import gevent

from spindle_daemon.components.platform_list.const import READ_PERIOD_S
from spindle_daemon.components.platform_list.coordinator import PlatformListReader
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically


def setup(spindle: Spindle) -> None:
    """Follow the list file of the settings; without one do nothing."""
    path = spindle.settings.platform_list
    if path is None:
        return
    reader = PlatformListReader(path, spindle.bus)
    gevent.spawn(run_periodically, "platform", lambda: READ_PERIOD_S, reader.read)
