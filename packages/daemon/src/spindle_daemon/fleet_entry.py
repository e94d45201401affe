"""Setup of the role `entry` in a fleet."""

from spindle_daemon.components import routed
from spindle_daemon.components.admin.admin_app import AdminApp
from spindle_daemon.components.fleet.entry_desk import EntryDesk
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.spindle import Spindle


def setup_entry(spindle: Spindle, adapter: PlatformAdapter, _app: AdminApp) -> None:
    """Join the fleet and serve routed requests."""
    fleet = spindle.settings.fleet
    assert fleet is not None
    desk = EntryDesk(spindle, fleet, adapter)
    spindle.add_stop_hook(desk.leave)
    routed.setup(spindle, adapter, desk)
    desk.start()
