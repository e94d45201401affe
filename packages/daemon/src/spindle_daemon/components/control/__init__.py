"""A control instance: agreement, storage, catalog feed, membership and operators."""

import gevent

from spindle_daemon.components.admin.admin_app import AdminApp
from spindle_daemon.components.control.const import STATUS_PERIOD_S
from spindle_daemon.components.control.folder_writer import FolderWriter
from spindle_daemon.components.control.instance_registry import InstanceRegistry
from spindle_daemon.components.control.operator_api import OperatorApi
from spindle_daemon.components.control.propose_service import ProposeService
from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.components.control_link.catalog_sender import CatalogSender
from spindle_daemon.components.control_link.proposal_client import ProposalClient
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_every
from spindle_daemon.settings.control_settings import ControlSettings
from spindle_daemon.storage.data_folder import DataFolder, open_data_folder
from spindle_decisions.commands.command import Result
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.consensus.raft_node import RaftNode, create_raft_node
from spindle_decisions.consensus.restored_state import RestoredState
from spindle_decisions.consensus.settings import RaftSettings
from spindle_decisions.state.replicated_state import create_replicated_state
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fetch_config import FetchConfig
from spindle_decisions.wire.raft_packet import RaftPacket


def setup(spindle: Spindle, admin: AdminApp) -> DataFolder:
    """Start a control instance on its data folder."""
    settings = spindle.settings
    control = settings.control
    assert control is not None
    assert settings.instance.data_dir is not None
    folder = open_data_folder(settings.instance.data_dir)
    restored = folder.restore()
    driver = _create_driver(spindle, control, folder, restored)
    registry = InstanceRegistry(spindle, driver)
    _connect(spindle, driver, registry)
    OperatorApi(spindle, driver, registry, restored.folder_id).register(admin)
    driver.start()
    gevent.spawn(run_every, "membership", lambda: STATUS_PERIOD_S, registry.share)
    spindle.ready = True
    return folder


def _create_driver(
    spindle: Spindle, control: ControlSettings, folder: DataFolder, restored: RestoredState
) -> RaftDriver:
    addresses = {item.name: item.address for item in spindle.settings.controls}

    def send(name: str, packet: RaftPacket) -> None:
        if name in addresses:
            spindle.transport.send(addresses[name], packet)

    def on_slow(seconds: float) -> None:
        spindle.timeline.add(EventKind.SYNC_SLOW, f"{seconds * MS_PER_S:.0f} ms")

    driver = RaftDriver(
        node=_create_node(spindle, control, restored),
        state=create_replicated_state(),
        writer=FolderWriter(folder, spindle.clock, control.group_commit, on_slow),
        clock=spindle.clock,
        timeline=spindle.timeline,
        send=send,
        snapshot_every=control.snapshot_every,
    )
    if restored.snapshot is not None:
        driver.restore_snapshot(restored.snapshot)
    return driver


def _create_node(spindle: Spindle, control: ControlSettings, restored: RestoredState) -> RaftNode:
    name = spindle.settings.instance.name
    settings = RaftSettings(
        name=name,
        heartbeat_s=control.heartbeat_ms / MS_PER_S,
        election_min_s=control.election_min_ms / MS_PER_S,
        election_max_s=control.election_max_ms / MS_PER_S,
        lease_s=control.lease_ms / MS_PER_S,
        peers=tuple(item.name for item in spindle.settings.controls if item.name != name),
    )
    return create_raft_node(settings, restored, spindle.rng, spindle.clock.now())


def _connect(spindle: Spindle, driver: RaftDriver, registry: InstanceRegistry) -> None:
    transport = spindle.transport
    addresses = {item.name: item.address for item in spindle.settings.controls}
    own = addresses.get(spindle.settings.instance.name, spindle.settings.mesh.advertise)
    transport.handle(RaftPacket, lambda _sender, packet: driver.receive(packet))
    ProposeService(spindle.clock, transport, driver, addresses.get)
    sender = CatalogSender(
        transport,
        lambda: driver.state.catalog,
        lambda: registry.config_mark().digest,
        driver.state.note_texts_between,
    )
    transport.handle(FetchConfig, sender.handle_fetch)
    spindle.control = ProposalClient(
        spindle.clock, transport, spindle.settings.mesh.advertise, lambda _attempt: own
    )

    def on_applied(result: Result) -> None:
        if isinstance(result, NoteApplied):
            spindle.timeline.add(EventKind.NOTE_ACCEPTED, result.digest, note=result.number)
            registry.push_version()

    driver.on_applied.append(on_applied)
    driver.on_restored.append(registry.push_version)
