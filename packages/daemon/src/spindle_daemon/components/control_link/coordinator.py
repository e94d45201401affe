"""Sends the heartbeats of an entry instance and handles the answers."""

import logging

from spindle_daemon.components.control_link.catalog_fetcher import CatalogFetcher
from spindle_daemon.components.control_link.catalog_holder import CatalogCache
from spindle_daemon.components.control_link.const import (
    FAST_HEARTBEAT_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_JITTER_RATIO,
    SECONDARY_HEARTBEAT_EVERY,
    STARTUP_TIMEOUT_S,
)
from spindle_daemon.components.control_link.control_selector import ControlSelector
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
    """Exchanges heartbeats between an entry instance and the control instances.

    All control instances get heartbeats while the current one is suspect or this
    instance is not ready. Otherwise the current one gets every heartbeat. If it is
    remote, a known control instance of the local data centre gets every heartbeat too.
    If not, one of the others in turn gets every `SECONDARY_HEARTBEAT_EVERY`-th
    heartbeat, so that their state stays known.

    The instance becomes ready once it has a catalog and either every control instance
    has sent a fresh answer or `STARTUP_TIMEOUT_S` has passed: by then it has learnt of
    newer catalogs at control and other entry instances.
    """

    def __init__(
        self, spindle: Spindle, catalog_cache: CatalogCache, fetcher: CatalogFetcher
    ) -> None:
        self.spindle = spindle
        self.catalog_cache = catalog_cache
        self.fetcher = fetcher
        self.addresses = spindle.settings.controls
        self.started_at = spindle.clock.now()
        self.selector = ControlSelector(
            self.addresses,
            spindle.settings.instance.data_center,
            self.started_at,
            spindle.rng.randrange(len(self.addresses)),
        )
        self.live: tuple[LiveInstance, ...] = ()
        self.live_digest = live_digest(())
        self.round = 0
        self.fresh_controls: set[str] = set()
        spindle.transport.register_handler(HeartbeatAck, self._handle_ack)
        spindle.transport.register_handler(ConfigNotice, self._handle_notice)

    def proposal_target(self, attempt: int) -> str:
        """Return the mesh address for an attempt: the current control instance, then others."""
        if attempt == 0:
            return self.selector.current.address
        return self.addresses[(self.round + attempt) % len(self.addresses)].address

    def heartbeat_interval_s(self) -> float:
        """Return the seconds until the next heartbeat.

        The interval is shorter while the current control instance is suspect or this instance is
        not ready.
        """
        is_fast = not self.spindle.ready or self.selector.is_suspect(self.spindle.clock.now())
        interval_s = FAST_HEARTBEAT_INTERVAL_S if is_fast else HEARTBEAT_INTERVAL_S
        return interval_s * self.spindle.rng.uniform(
            1.0 - HEARTBEAT_JITTER_RATIO, 1.0 + HEARTBEAT_JITTER_RATIO
        )

    def send_heartbeats(self) -> None:
        """Select the control instance again and send one round of heartbeats."""
        now = self.spindle.clock.now()
        if self.selector.reselect(now):
            self._record_switch()
        for address in self._heartbeat_addresses(now):
            attached = address == self.selector.current.address
            self.spindle.transport.send(address, self._heartbeat(attached))
        if not self.spindle.ready:
            self._request_from_peers()
        self.round += 1
        self._check_ready(now)

    def send_leave(self) -> None:
        """Notify every control instance that this instance has stopped serving."""
        message = Leave(self.spindle.settings.instance.name, self.spindle.incarnation)
        for control in self.addresses:
            self.spindle.transport.send(control.address, message)

    def _heartbeat_addresses(self, now: float) -> list[str]:
        all_addresses = [control.address for control in self.addresses]
        if not self.spindle.ready or self.selector.is_suspect(now):
            return all_addresses
        current = self.selector.current.address
        local = self.selector.local_alternative()
        if local is not None:
            return [current, local.address]
        if self.round % SECONDARY_HEARTBEAT_EVERY:
            return [current]
        other = all_addresses[self.round // SECONDARY_HEARTBEAT_EVERY % len(all_addresses)]
        return [current] if other == current else [current, other]

    def _request_from_peers(self) -> None:
        """Request the catalog from other entries: an isolated control instance may be behind."""
        known = {peer.address for peer in self.spindle.settings.peers}
        known.update(item.mesh_address for item in self.live)
        for address in known - {self.spindle.settings.mesh.advertise}:
            self.fetcher.request_update(address)

    def _heartbeat(self, attached: bool) -> Heartbeat:
        return Heartbeat(
            live=self.spindle.own_instance(),
            config_version=self.catalog_cache.catalog.version,
            config_digest=self.catalog_cache.digest,
            live_digest=self.live_digest,
            attached=attached,
        )

    def _handle_ack(self, _sender: str, ack: HeartbeatAck) -> None:
        now = self.spindle.clock.now()
        if not ack.stale:
            self.fresh_controls.add(ack.control)
        self.selector.on_ack(now, ack)
        self._on_version_advertised(ack.control, ack.config_version, ack.config_digest)
        if ack.config_version == self.catalog_cache.catalog.version and not ack.stale:
            self.catalog_cache.record_confirmation()
        if ack.control == self.selector.current.name or not self.live:
            self._update_live(ack)

    def _handle_notice(self, _sender: str, notice: ConfigNotice) -> None:
        self._on_version_advertised(notice.control, notice.version, notice.digest)

    def _on_version_advertised(self, control: str, version: int, digest: str) -> None:
        for item in self.addresses:
            if item.name == control:
                self.fetcher.on_version_advertised(item.address, version, digest)

    def _update_live(self, ack: HeartbeatAck) -> None:
        if ack.live_digest == self.live_digest or not ack.live:
            return
        self.live = ack.live
        self.live_digest = ack.live_digest
        self.spindle.bus.fire(LiveInstancesChanged(self.live))

    def _check_ready(self, now: float) -> None:
        if self.spindle.ready or self.spindle.leaving:
            return
        if not self.catalog_cache.catalog.version:
            return
        if now - self.started_at < STARTUP_TIMEOUT_S and not self._all_controls_fresh():
            return
        self.selector.select_local_at_start(now)
        self.spindle.ready = True
        _LOGGER.info("link: ready with config version %s", self.catalog_cache.catalog.version)

    def _all_controls_fresh(self) -> bool:
        return len(self.fresh_controls) == len(self.addresses)

    def _record_switch(self) -> None:
        name = self.selector.current.name
        _LOGGER.info("link: moved to control instance %s", name)
        self.spindle.timeline.add(EventKind.CONTROL_MOVED, "moved to a fresh one", peer=name)
