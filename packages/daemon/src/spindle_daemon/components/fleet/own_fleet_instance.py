"""Description of this process for other processes."""

from spindle_daemon.core.spindle import Spindle
from spindle_decisions.wire.fleet_instance import FleetInstance


def create_fleet_instance(spindle: Spindle) -> FleetInstance:
    """Return the description of this process for other processes."""
    settings = spindle.settings
    return FleetInstance(
        settings.instance.name,
        settings.instance.role,
        settings.instance.data_center,
        settings.mesh.advertise,
        spindle.incarnation,
    )
