"""A control instance: consensus, storage, catalog, membership and operator endpoints."""

import gevent

from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.components.control.const import STATUS_INTERVAL_S
from spindle_daemon.components.control.instance_registry import InstanceRegistry
from spindle_daemon.components.control.operator_api import OperatorEndpoints
from spindle_daemon.components.control.propose_service import ProposalHandler
from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.components.control.raft_driver_factory import create_raft_driver
from spindle_daemon.components.control_link.catalog_sender import CatalogSender
from spindle_daemon.components.control_link.proposal_client import ProposalClient
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically
from spindle_daemon.storage.data_folder import DataFolder, open_data_folder
from spindle_decisions.commands.command import Result
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.wire.fetch_config import FetchConfig
from spindle_decisions.wire.raft_packet import RaftPacket


def setup(spindle: Spindle, admin: AdminApplication) -> DataFolder:
    """Start a control instance with its data folder, and return the folder."""
    settings = spindle.settings
    assert settings.instance.data_dir is not None
    folder = open_data_folder(settings.instance.data_dir)
    restored = folder.restore()
    addresses = {item.name: item.address for item in settings.controls}
    driver = create_raft_driver(spindle, folder, restored, addresses.get, auto_join=False)
    registry = InstanceRegistry(spindle, driver)
    _setup_messaging(spindle, driver, registry)
    OperatorEndpoints(spindle, driver, registry, restored.folder_id).register(admin)
    driver.start()
    gevent.spawn(
        run_periodically, "membership", lambda: STATUS_INTERVAL_S, registry.broadcast_status
    )
    spindle.ready = True
    return folder


def _setup_messaging(spindle: Spindle, driver: RaftDriver, registry: InstanceRegistry) -> None:
    transport = spindle.transport
    addresses = {item.name: item.address for item in spindle.settings.controls}
    own = addresses.get(spindle.settings.instance.name, spindle.settings.mesh.advertise)
    transport.register_handler(RaftPacket, lambda _sender, packet: driver.on_message(packet))
    ProposalHandler(spindle.clock, transport, driver, addresses.get)
    sender = CatalogSender(
        transport,
        lambda: driver.state.catalog,
        lambda: registry.catalog_version().digest,
        driver.state.note_texts_between,
    )
    transport.register_handler(FetchConfig, sender.handle_fetch)
    spindle.control = ProposalClient(
        spindle.clock, transport, spindle.settings.mesh.advertise, lambda _attempt: own
    )

    def on_applied(result: Result) -> None:
        if isinstance(result, NoteApplied):
            spindle.timeline.add(EventKind.NOTE_ACCEPTED, result.digest, note=result.number)
            registry.push_version()

    driver.on_applied.append(on_applied)
    driver.on_restored.append(registry.push_version)
