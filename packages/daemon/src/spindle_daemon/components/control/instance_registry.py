"""Heartbeats of instances, and what control instances tell each other about them."""

import logging

from spindle_daemon.components.control.config_mark import ConfigMark
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

LONGEST_AGE_S = 1e9


class InstanceRegistry:
    """Answers heartbeats, pushes new versions, and shares what it hears."""

    def __init__(self, spindle: Spindle, driver: RaftDriver) -> None:
        self.spindle = spindle
        self.driver = driver
        self.name = spindle.settings.instance.name
        self.table = InstanceTable()
        self.status = StatusSync(self.name, self.table)
        self.digest = self.table.digest()
        self.mark = ConfigMark(0, driver.state.catalog.digest())
        self.suspected: set[str] = set()
        transport = spindle.transport
        transport.handle(Heartbeat, self._handle_heartbeat)
        transport.handle(Leave, self._handle_leave)
        transport.handle(ControlStatus, self._handle_status)
        transport.handle(StatusWanted, self._handle_wanted)

    def share(self) -> None:
        """Tell the other control instances what was heard, and drop the long silent."""
        now = self.spindle.clock.now()
        for name in self.table.expire(now):
            _LOGGER.info("membership: %s forgotten", name)
        self.digest = self.table.digest()
        self._note_suspects(now)
        message = self.status.next_status(now)
        for control in self.spindle.settings.controls:
            if control.name != self.name:
                self.spindle.transport.send(control.address, message)

    def push_version(self) -> None:
        """Tell the instances heard here directly that a newer version exists."""
        mark = self.config_mark()
        notice = ConfigNotice(self.name, mark.version, mark.digest)
        for entry in self.table.records.values():
            if entry.reported_by == DIRECT:
                self.spindle.transport.send(entry.live.mesh_address, notice)

    def _handle_heartbeat(self, _sender: str, beat: Heartbeat) -> None:
        now = self.spindle.clock.now()
        if beat.attached and self.table.on_heartbeat(now, beat):
            self.digest = self.table.digest()
        same = beat.live_digest == self.digest
        mark = self.config_mark()
        quorum_age_s = min(self.driver.node.quorum_contact_age_s(now), LONGEST_AGE_S)
        ack = HeartbeatAck(
            control=self.name,
            data_center=self.spindle.settings.instance.data_center,
            stale=self.driver.node.is_stale(now),
            quorum_age_ms=int(quorum_age_s * MS_PER_S),
            config_version=mark.version,
            config_digest=mark.digest,
            live_digest=self.digest,
            live=() if same else self.table.live_instances(),
        )
        self.spindle.transport.send(beat.live.mesh_address, ack)

    def _handle_leave(self, _sender: str, leave: Leave) -> None:
        if self.table.on_leave(leave):
            self.digest = self.table.digest()
            self.spindle.timeline.add(EventKind.INSTANCE_LEFT, "told", peer=leave.instance)

    def _handle_status(self, _sender: str, status: ControlStatus) -> None:
        if not self.status.receive(self.spindle.clock.now(), status):
            self._send_to(status.control, StatusWanted(self.name))
        self.digest = self.table.digest()

    def _handle_wanted(self, _sender: str, wanted: StatusWanted) -> None:
        self._send_to(wanted.control, self.status.full_status(self.spindle.clock.now()))

    def _send_to(self, control: str, message: Message) -> None:
        for item in self.spindle.settings.controls:
            if item.name == control:
                self.spindle.transport.send(item.address, message)

    def config_mark(self) -> ConfigMark:
        """Return version and digest of the applied catalog; each digest is made once."""
        catalog = self.driver.state.catalog
        if catalog.version != self.mark.version:
            self.mark = ConfigMark(catalog.version, catalog.digest())
        return self.mark

    def _note_suspects(self, now: float) -> None:
        suspects = {name for name in self.table.records if self.table.is_suspect(now, name)}
        for name in suspects - self.suspected:
            _LOGGER.warning("membership: %s is suspected", name)
            self.spindle.timeline.add(EventKind.INSTANCE_SUSPECTED, "silent", peer=name)
        self.suspected = suspects
