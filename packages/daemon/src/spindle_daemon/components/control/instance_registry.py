"""Heartbeats of instances, and what control instances tell each other about them."""

import logging

import gevent

from spindle_daemon.components.control.const import STATUS_PERIOD_S
from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.membership.instance_table import InstanceTable
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.wire.config_notice import ConfigNotice
from spindle_decisions.wire.control_status import ControlStatus
from spindle_decisions.wire.heartbeat import Heartbeat
from spindle_decisions.wire.heartbeat_ack import HeartbeatAck
from spindle_decisions.wire.leave import Leave
from spindle_decisions.wire.live_instance import LiveInstance

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000


class InstanceRegistry:
    """Answers heartbeats, pushes new versions, and shares what it hears."""

    def __init__(self, spindle: Spindle, driver: RaftDriver) -> None:
        self.spindle = spindle
        self.driver = driver
        self.table = InstanceTable()
        self.digest = self.table.digest()
        self.suspected: set[str] = set()
        transport = spindle.transport
        transport.handle(Heartbeat, self._handle_heartbeat)
        transport.handle(Leave, self._handle_leave)
        transport.handle(ControlStatus, self._handle_status)

    def run_forever(self) -> None:
        """Share, suspect and forget."""
        while True:
            self.share()
            gevent.sleep(STATUS_PERIOD_S)

    def share(self) -> None:
        """Tell the other control instances what was heard, and drop the long silent."""
        now = self.spindle.clock.now()
        for name in self.table.expire(now):
            _LOGGER.info("membership: %s forgotten", name)
        self.digest = self.table.digest()
        self._note_suspects(now)
        message = ControlStatus(self.spindle.settings.instance.name, self.table.direct_reports(now))
        for control in self.spindle.settings.controls:
            if control.name != self.spindle.settings.instance.name:
                self.spindle.transport.send(control.address, message)

    def push_version(self) -> None:
        """Tell the instances heard here directly that a newer version exists."""
        catalog = self.driver.state.catalog
        notice = ConfigNotice(
            self.spindle.settings.instance.name, catalog.version, catalog.digest()
        )
        for entry in self.table.entries.values():
            if entry.direct:
                self.spindle.transport.send(entry.live.mesh_address, notice)

    def _handle_heartbeat(self, _sender: str, beat: Heartbeat) -> None:
        now = self.spindle.clock.now()
        if beat.attached and self.table.heard(now, beat):
            self.digest = self.table.digest()
        same = beat.live_digest == self.digest
        catalog = self.driver.state.catalog
        quorum_age = self.driver.node.quorum_age(now)
        ack = HeartbeatAck(
            control=self.spindle.settings.instance.name,
            data_center=self.spindle.settings.instance.data_center,
            stale=self.driver.node.is_stale(now),
            quorum_age_ms=int(min(quorum_age, 1e9) * MS_PER_S),
            config_version=catalog.version,
            config_digest=catalog.digest(),
            live_digest=self.digest,
            live=() if same else self.table.live(),
        )
        self.spindle.transport.send(beat.live.mesh_address, ack)

    def _handle_leave(self, _sender: str, leave: Leave) -> None:
        if self.table.told_leaving(leave):
            self.digest = self.table.digest()
            self.spindle.timeline.add(EventKind.INSTANCE_LEFT, "told", peer=leave.instance)

    def _handle_status(self, _sender: str, status: ControlStatus) -> None:
        now = self.spindle.clock.now()
        for report in status.reports:
            self.table.reported(now, report)
        self.digest = self.table.digest()

    def _note_suspects(self, now: float) -> None:
        suspects = {name for name in self.table.entries if self.table.suspected(now, name)}
        for name in suspects - self.suspected:
            _LOGGER.warning("membership: %s is suspected", name)
            self.spindle.timeline.add(EventKind.INSTANCE_SUSPECTED, "silent", peer=name)
        self.suspected = suspects

    def self_entry(self) -> LiveInstance:
        """Return this control instance as a live instance."""
        settings = self.spindle.settings
        return LiveInstance(
            instance=settings.instance.name,
            incarnation=self.spindle.incarnation,
            data_center=settings.instance.data_center,
            role=settings.instance.role,
            mesh_address=settings.mesh.advertise,
            admin_host=settings.admin.host,
            admin_port=settings.admin.port,
            leaving=self.spindle.leaving,
        )
