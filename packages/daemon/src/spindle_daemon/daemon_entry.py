"""Setup of the role `entry`."""

from spindle_daemon.components import (
    account,
    control_link,
    entry_http,
    platform_list,
    serving,
)
from spindle_daemon.core.spindle import Spindle


def setup_entry(spindle: Spindle) -> None:
    """Connect to a control instance and serve the requests of callers."""
    link = control_link.setup(spindle)
    spindle.add_stop_hook(link.send_leave)
    account.setup(spindle)
    coordinator = serving.setup(spindle)
    platform_list.setup(spindle)
    entry_http.setup(spindle, coordinator)
