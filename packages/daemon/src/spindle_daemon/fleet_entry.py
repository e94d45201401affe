"""The role `entry` in a fleet."""

from spindle_daemon.components import routed
from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.components.fleet.entry_desk import EntryFleetCoordinator
from spindle_daemon.core.dialect import Dialect
from spindle_daemon.core.spindle import Spindle


def setup_entry(spindle: Spindle, dialect: Dialect, _app: AdminApplication) -> None:
    """Serve routed requests."""
    fleet = spindle.settings.fleet
    assert fleet is not None
    desk = EntryFleetCoordinator(spindle, fleet, dialect)
    spindle.on_stop(desk.send_leave)
    routed.setup(spindle, dialect, desk)
    desk.start()
