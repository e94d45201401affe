"""All settings of one process."""

import dataclasses
import pathlib

from spindle_daemon.settings.control_settings import ControlSettings
from spindle_daemon.settings.endpoint import Endpoint
from spindle_daemon.settings.entry_settings import EntrySettings
from spindle_daemon.settings.fleet_settings import FleetSettings
from spindle_daemon.settings.instance_address import InstanceAddress
from spindle_daemon.settings.instance_settings import InstanceSettings
from spindle_daemon.settings.mesh_settings import MeshSettings
from spindle_daemon.settings.routed_settings import RoutedSettings
from spindle_daemon.settings.serving_settings import ServingSettings


@dataclasses.dataclass(frozen=True)
class Settings:
    """The checked settings of one process.

    `entry` is present for the role `entry`, `control` for the role `control`.
    `peers` are other entry instances, which are asked for the catalog after a start.
    `platform_list` is the file in which the platform lists leaving upstreams.
    `fleet` and `routed` are present where the instance serves routes; the control
    instances are then found from seeds and `controls` is empty.
    """

    instance: InstanceSettings
    mesh: MeshSettings
    admin: Endpoint
    controls: tuple[InstanceAddress, ...]
    serving: ServingSettings
    entry: EntrySettings | None
    control: ControlSettings | None
    peers: tuple[InstanceAddress, ...] = ()
    platform_list: pathlib.Path | None = None
    fleet: FleetSettings | None = None
    routed: RoutedSettings | None = None
