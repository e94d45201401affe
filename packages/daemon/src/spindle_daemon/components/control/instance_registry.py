"""Handles the heartbeats of instances and the status sync between control instances."""

import logging

from spindle_daemon.components.control.catalog_version import CatalogVersion
from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.membership.instance_record import DIRECT
from spindle_decisions.membership.instance_table import InstanceTable
from spindle_decisions.membership.status_sync import StatusSync
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.config_notice import ConfigNotice
from spindle_decisions.wire.control_status import ControlStatus
from spindle_decisions.wire.heartbeat import Heartbeat
from spindle_decisions.wire.heartbeat_ack import HeartbeatAck
from spindle_decisions.wire.leave import Leave
from spindle_decisions.wire.message import Message
from spindle_decisions.wire.status_wanted import StatusWanted

_LOGGER = logging.getLogger(__name__)

MAX_QUORUM_AGE_S = 1e9  # the age is infinite before the first contact


class InstanceRegistry:
    """Answers heartbeats, announces new catalog versions and broadcasts the known instances."""

    def __init__(self, spindle: Spindle, driver: RaftDriver) -> None:
        self.spindle = spindle
        self.driver = driver
        self.name = spindle.settings.instance.name
        self.table = InstanceTable()
        self.status = StatusSync(self.name, self.table)
        self.live_digest = self.table.digest()
        self.cached_version = CatalogVersion(0, driver.state.catalog.digest())
        self.suspected: set[str] = set()
        transport = spindle.transport
        transport.register_handler(Heartbeat, self._handle_heartbeat)
        transport.register_handler(Leave, self._handle_leave)
        transport.register_handler(ControlStatus, self._handle_status)
        transport.register_handler(StatusWanted, self._handle_status_wanted)

    def broadcast_status(self) -> None:
        """Remove expired instances, and send the status to the other control instances."""
        now = self.spindle.clock.now()
        for name in self.table.expire(now):
            _LOGGER.info("membership: removed expired instance %s", name)
        self.live_digest = self.table.digest()
        self._record_suspects(now)
        message = self.status.next_status(now)
        for control in self.spindle.settings.controls:
            if control.name != self.name:
                self.spindle.transport.send(control.address, message)

    def push_version(self) -> None:
        """Announce the applied version to the instances whose heartbeats arrive here."""
        applied = self.catalog_version()
        notice = ConfigNotice(self.name, applied.version, applied.digest)
        for record in self.table.records.values():
            if record.reported_by == DIRECT:
                self.spindle.transport.send(record.live.mesh_address, notice)

    def _handle_heartbeat(self, _sender: str, heartbeat: Heartbeat) -> None:
        now = self.spindle.clock.now()
        if heartbeat.attached and self.table.on_heartbeat(now, heartbeat):
            self.live_digest = self.table.digest()
        is_live_list_known = heartbeat.live_digest == self.live_digest
        applied = self.catalog_version()
        quorum_age_s = min(self.driver.node.quorum_contact_age_s(now), MAX_QUORUM_AGE_S)
        ack = HeartbeatAck(
            control=self.name,
            data_center=self.spindle.settings.instance.data_center,
            stale=self.driver.node.is_stale(now),
            quorum_age_ms=int(quorum_age_s * MS_PER_S),
            config_version=applied.version,
            config_digest=applied.digest,
            live_digest=self.live_digest,
            live=() if is_live_list_known else self.table.live_instances(),
        )
        self.spindle.transport.send(heartbeat.live.mesh_address, ack)

    def _handle_leave(self, _sender: str, leave: Leave) -> None:
        if self.table.on_leave(leave):
            self.live_digest = self.table.digest()
            self.spindle.timeline.add(EventKind.INSTANCE_LEFT, "told", peer=leave.instance)

    def _handle_status(self, _sender: str, status: ControlStatus) -> None:
        if not self.status.receive(self.spindle.clock.now(), status):
            self._send_to_control(status.control, StatusWanted(self.name))
        self.live_digest = self.table.digest()

    def _handle_status_wanted(self, _sender: str, wanted: StatusWanted) -> None:
        self._send_to_control(wanted.control, self.status.full_status(self.spindle.clock.now()))

    def _send_to_control(self, control: str, message: Message) -> None:
        for item in self.spindle.settings.controls:
            if item.name == control:
                self.spindle.transport.send(item.address, message)

    def catalog_version(self) -> CatalogVersion:
        """Return version and digest of the applied catalog; computes each digest once."""
        catalog = self.driver.state.catalog
        if catalog.version != self.cached_version.version:
            self.cached_version = CatalogVersion(catalog.version, catalog.digest())
        return self.cached_version

    def _record_suspects(self, now: float) -> None:
        suspects = {name for name in self.table.records if self.table.is_suspect(now, name)}
        for name in suspects - self.suspected:
            _LOGGER.warning("membership: %s is suspected", name)
            self.spindle.timeline.add(EventKind.INSTANCE_SUSPECTED, "silent", peer=name)
        self.suspected = suspects
