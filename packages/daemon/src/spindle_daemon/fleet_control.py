"""Setup of the role `control` in a fleet."""

import gevent

from spindle_daemon.components import plan_api
from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.components.admin.const import PATH_INSTANCES
from spindle_daemon.components.control.propose_service import ProposalHandler
from spindle_daemon.components.control.raft_driver_factory import create_raft_driver
from spindle_daemon.components.control_link.proposal_client import ProposalClient
from spindle_daemon.components.fleet.control_desk import ControlFleetCoordinator
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.json_response import json_ok
from spindle_daemon.storage.patient_open import open_when_writable
from spindle_decisions.wire.raft_packet import RaftPacket


def setup_control(spindle: Spindle, adapter: PlatformAdapter, app: AdminApplication) -> None:
    """Start consensus, the coordination of the fleet and the operator API."""
    settings = spindle.settings
    assert settings.fleet is not None
    assert settings.instance.data_dir is not None
    folder = open_when_writable(settings.instance.data_dir, gevent.sleep)
    restored = folder.restore()
    fleet_coordinator: ControlFleetCoordinator | None = None

    def address_of(name: str) -> str | None:
        return fleet_coordinator.mesh_address_of(name) if fleet_coordinator is not None else None

    driver = create_raft_driver(spindle, folder, restored, address_of, auto_join=True)
    fleet_coordinator = ControlFleetCoordinator(
        spindle, settings.fleet, adapter, driver, restored.folder_id
    )
    transport = spindle.transport
    transport.register_handler(RaftPacket, lambda _sender, packet: driver.on_message(packet))
    ProposalHandler(spindle.clock, transport, driver, address_of)
    own = settings.mesh.advertise
    spindle.control = ProposalClient(spindle.clock, transport, own, lambda _attempt: own)
    driver.on_caught_up.append(fleet_coordinator.push_plan)
    driver.on_restored.append(fleet_coordinator.push_plan)
    driver.start()
    fleet_coordinator.start()
    plan_api.setup(spindle, adapter, driver)
    app.route("GET", PATH_INSTANCES, lambda _request: json_ok(fleet_coordinator.live_instances()))
    spindle.add_stop_hook(folder.close)
    spindle.ready = True
