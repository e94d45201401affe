"""Creates the Raft driver from the settings and the data folder."""

from collections.abc import Callable

from spindle_daemon.components.control.folder_writer import DataFolderWriter
from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.storage.data_folder import DataFolder
from spindle_decisions.consensus.raft_node import RaftNode, create_raft_node
from spindle_decisions.consensus.restored_state import RestoredState
from spindle_decisions.consensus.settings import RaftSettings
from spindle_decisions.state.replicated_state import create_replicated_state
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.raft_packet import RaftPacket


def create_raft_driver(
    spindle: Spindle,
    folder: DataFolder,
    restored: RestoredState,
    address_of: Callable[[str], str | None],
    auto_join: bool,
) -> RaftDriver:
    """Create a driver with the restored state; the caller starts it.

    `address_of` returns the mesh address of a control instance by its name, or
    `None`. With `auto_join` the membership follows the live control instances.
    """
    control = spindle.settings.control
    assert control is not None

    def send(name: str, packet: RaftPacket) -> None:
        address = address_of(name)
        if address is not None:
            spindle.transport.send(address, packet)

    def on_slow(seconds: float) -> None:
        spindle.timeline.add(EventKind.SYNC_SLOW, f"{seconds * MS_PER_S:.0f} ms")

    driver = RaftDriver(
        node=_create_node(spindle, restored, auto_join),
        state=create_replicated_state(),
        writer=DataFolderWriter(folder, spindle.clock, control.group_commit, on_slow),
        clock=spindle.clock,
        timeline=spindle.timeline,
        send=send,
        snapshot_every=control.snapshot_every,
    )
    if restored.snapshot is not None:
        driver.restore_snapshot(restored.snapshot)
    return driver


def _create_node(spindle: Spindle, restored: RestoredState, auto_join: bool) -> RaftNode:
    control = spindle.settings.control
    assert control is not None
    name = spindle.settings.instance.name
    settings = RaftSettings(
        name=name,
        heartbeat_s=control.heartbeat_ms / MS_PER_S,
        election_min_s=control.election_min_ms / MS_PER_S,
        election_max_s=control.election_max_ms / MS_PER_S,
        lease_s=control.lease_ms / MS_PER_S,
        peers=tuple(item.name for item in spindle.settings.controls if item.name != name),
        auto_join=auto_join,
        quick_start=auto_join,
    )
    return create_raft_node(settings, restored, spindle.rng, spindle.clock.now())
