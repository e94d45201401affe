"""Setup of the role `entry` in a fleet."""

from spindle_daemon.components import routed
from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.components.fleet.entry_desk import EntryFleetCoordinator
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.spindle import Spindle


def setup_entry(spindle: Spindle, adapter: PlatformAdapter, _app: AdminApplication) -> None:
    """Join the fleet and serve routed requests."""
    fleet = spindle.settings.fleet
    assert fleet is not None
    fleet_coordinator = EntryFleetCoordinator(spindle, fleet, adapter)
    spindle.add_stop_hook(fleet_coordinator.send_leave)
    routed.setup(spindle, adapter, fleet_coordinator)
    fleet_coordinator.start()
