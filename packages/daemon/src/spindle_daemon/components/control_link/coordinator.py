"""The heartbeats of an entry instance and what it learns from the answers."""

import logging

from spindle_daemon.components.control_link.catalog_fetcher import CatalogFetcher
from spindle_daemon.components.control_link.catalog_holder import CatalogHolder
from spindle_daemon.components.control_link.const import (
    HASTY_HEARTBEAT_S,
    HEARTBEAT_JITTER,
    HEARTBEAT_S,
    SECOND_CONTROL_EVERY,
    STARTUP_WAIT_S,
)
from spindle_daemon.components.control_link.control_choice import ControlChoice
from spindle_daemon.core.live_instances_changed import LiveInstancesChanged
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.membership.instance_table import live_digest
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.wire.config_notice import ConfigNotice
from spindle_decisions.wire.heartbeat import Heartbeat
from spindle_decisions.wire.heartbeat_ack import HeartbeatAck
from spindle_decisions.wire.leave import Leave
from spindle_decisions.wire.live_instance import LiveInstance

_LOGGER = logging.getLogger(__name__)


class ControlLink:
    """Keeps an entry instance in touch with the control instances.

    Every control instance is asked while the current one is in doubt; otherwise
    one of the others is asked now and then, so that each knows of its
    neighbours. The instance becomes ready once it has a catalog and had the
    time to hear of a newer one from control instances and from other entry
    instances.
    """

    def __init__(self, spindle: Spindle, holder: CatalogHolder, fetcher: CatalogFetcher) -> None:
        self.spindle = spindle
        self.holder = holder
        self.fetcher = fetcher
        self.addresses = spindle.settings.controls
        self.started_at = spindle.clock.now()
        self.choice = ControlChoice(
            self.addresses,
            spindle.settings.instance.data_center,
            self.started_at,
            spindle.rng.randrange(len(self.addresses)),
        )
        self.live: tuple[LiveInstance, ...] = ()
        self.live_digest = live_digest(())
        self.round = 0
        self.heard: set[str] = set()
        spindle.transport.handle(HeartbeatAck, self._handle_ack)
        spindle.transport.handle(ConfigNotice, self._handle_notice)

    def target(self, attempt: int) -> str:
        """Return the mesh address for a proposal: the current choice first, then the others."""
        if attempt == 0:
            return self.choice.current.address
        return self.addresses[(self.round + attempt) % len(self.addresses)].address

    def period_s(self) -> float:
        """Return the seconds until the next heartbeat: short while in doubt or not ready."""
        hasty = not self.spindle.ready or self.choice.doubtful(self.spindle.clock.now())
        period_s = HASTY_HEARTBEAT_S if hasty else HEARTBEAT_S
        return period_s * self.spindle.rng.uniform(1.0 - HEARTBEAT_JITTER, 1.0 + HEARTBEAT_JITTER)

    def beat(self) -> None:
        """Send one round of heartbeats and choose again."""
        now = self.spindle.clock.now()
        if self.choice.decide(now):
            self._tell_move()
        for address in self._round_addresses(now):
            attached = address == self.choice.current.address
            self.spindle.transport.send(address, self._heartbeat(attached))
        if not self.spindle.ready:
            self._ask_peers()
        self.round += 1
        self._check_ready(now)

    def leave(self) -> None:
        """Tell every control instance that this instance has stopped serving."""
        message = Leave(self.spindle.settings.instance.name, self.spindle.incarnation)
        for control in self.addresses:
            self.spindle.transport.send(control.address, message)

    def _round_addresses(self, now: float) -> list[str]:
        everyone = [control.address for control in self.addresses]
        if not self.spindle.ready or self.choice.doubtful(now):
            return everyone
        current = self.choice.current.address
        near = self.choice.near_other()
        if near is not None:
            return [current, near.address]
        if self.round % SECOND_CONTROL_EVERY:
            return [current]
        other = everyone[self.round // SECOND_CONTROL_EVERY % len(everyone)]
        return [current] if other == current else [current, other]

    def _ask_peers(self) -> None:
        """Ask other entry instances, which may hold more than a cut-off control instance."""
        known = {peer.address for peer in self.spindle.settings.peers}
        known.update(item.mesh_address for item in self.live)
        for address in known - {self.spindle.settings.mesh.advertise}:
            self.fetcher.ask(address)

    def _heartbeat(self, attached: bool) -> Heartbeat:
        return Heartbeat(
            live=self.spindle.own_instance(),
            config_version=self.holder.catalog.version,
            config_digest=self.holder.digest,
            live_digest=self.live_digest,
            attached=attached,
        )

    def _handle_ack(self, _sender: str, ack: HeartbeatAck) -> None:
        now = self.spindle.clock.now()
        if not ack.stale:
            self.heard.add(ack.control)
        self.choice.acked(now, ack)
        self._learn(ack.control, ack.config_version, ack.config_digest)
        if ack.config_version == self.holder.catalog.version and not ack.stale:
            self.holder.confirm()
        if ack.control == self.choice.current.name or not self.live:
            self._take_live(ack)

    def _handle_notice(self, _sender: str, notice: ConfigNotice) -> None:
        self._learn(notice.control, notice.version, notice.digest)

    def _learn(self, control: str, version: int, digest: str) -> None:
        for item in self.addresses:
            if item.name == control:
                self.fetcher.learn(item.address, version, digest)

    def _take_live(self, ack: HeartbeatAck) -> None:
        if ack.live_digest == self.live_digest or not ack.live:
            return
        self.live = ack.live
        self.live_digest = ack.live_digest
        self.spindle.bus.fire(LiveInstancesChanged(self.live))

    def _check_ready(self, now: float) -> None:
        if self.spindle.ready or self.spindle.leaving:
            return
        if not self.holder.catalog.version:
            return
        if now - self.started_at < STARTUP_WAIT_S and not self._heard_all_fresh():
            return
        self.choice.settle(now)
        self.spindle.ready = True
        _LOGGER.info("link: ready with config version %s", self.holder.catalog.version)

    def _heard_all_fresh(self) -> bool:
        return len(self.heard) == len(self.addresses)

    def _tell_move(self) -> None:
        name = self.choice.current.name
        _LOGGER.info("link: moved to control instance %s", name)
        self.spindle.timeline.add(EventKind.CONTROL_MOVED, "moved to a fresh one", peer=name)
