"""Fleet discovery of an entry instance."""

import logging
import math
import zlib

import gevent

from spindle_daemon.components.fleet.const import (
    FAST_HEARTBEAT_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    PLAN_CONFIRMATION_TIMEOUT_S,
    PLAN_CONFIRMATION_TTL_S,
)
from spindle_daemon.components.fleet.list_reader import UpstreamListReader
from spindle_daemon.components.fleet.own_fleet_instance import create_fleet_instance
from spindle_daemon.components.fleet.plan_updated import PlanUpdated
from spindle_daemon.components.fleet.upstream_list_updated import UpstreamListUpdated
from spindle_daemon.components.quarantine.entry_quarantine import EntryQuarantine
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.settings_reloaded import SettingsReloaded
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically
from spindle_daemon.settings.fleet_settings import FleetSettings
from spindle_decisions.exceptions import PlanError
from spindle_decisions.fleet import const
from spindle_decisions.fleet.fleet_table import FleetTable
from spindle_decisions.fleet.heartbeat_schedule import is_heartbeat_due
from spindle_decisions.fleet.heartbeat_targets import choose_heartbeat_targets
from spindle_decisions.fleet.instances_digest import instances_digest
from spindle_decisions.fleet.upstream_list_cache import UpstreamListCache
from spindle_decisions.routing.const import QUORUM_TIMEOUT_S
from spindle_decisions.routing.plan import EMPTY_PLAN
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.control_beat import ControlBeat
from spindle_decisions.wire.entry_beat import EntryBeat
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.list_push import ListPush
from spindle_decisions.wire.plan_push import PlanPush

_LOGGER = logging.getLogger(__name__)


class EntryFleetCoordinator:
    """Sends heartbeats to control instances and applies newer plans and lists.

    A control instance pushes only committed plans, so the plan with the highest
    version is the right one, whoever sends it. Plans with a lower version are ignored.
    """

    def __init__(self, spindle: Spindle, fleet: FleetSettings, adapter: PlatformAdapter) -> None:
        self.spindle = spindle
        self.fleet = fleet
        self.plan_codec = adapter.plans
        self.own_instance = create_fleet_instance(spindle)
        self.table = FleetTable()
        self.list_cache = UpstreamListCache()
        self.plan = EMPTY_PLAN
        self.plan_received_at = math.inf
        self.plan_confirmed_at = -math.inf
        self.plan_confirmed_once = False
        self.quorum_contact_at = spindle.clock.now()
        self.has_quorum_contact = True
        self.entry_instance_count = 1
        self.peers: tuple[FleetInstance, ...] = ()
        self.unanswered_since: dict[str, float] = {}
        self.responded_at: dict[str, float] = {}
        self.controls_digests: dict[str, str] = {}
        self.primary = ""
        self.is_leaving = False
        self.heartbeat_count = 0
        self.quarantine = EntryQuarantine(spindle, self._targets)
        self.list_refresh_age_s = const.LIST_REFRESH_ENTRY_S + spindle.rng.uniform(0.0, 1.0)
        self.list_reader = UpstreamListReader(
            spindle.clock,
            self.list_cache,
            adapter.upstreams,
            lambda: self.list_refresh_age_s,
            self._on_read,
        )
        spindle.bus.listen(SettingsReloaded, self._on_settings)
        transport = spindle.transport
        transport.register_handler(ControlBeat, self._on_heartbeat)
        transport.register_handler(PlanPush, self._on_plan)
        transport.register_handler(ListPush, self._on_list)

    def _on_settings(self, event: SettingsReloaded) -> None:
        if event.settings.fleet is not None:
            self.fleet = event.settings.fleet

    def start(self) -> None:
        """Start the greenlets."""
        gevent.spawn(run_periodically, "fleet", self._heartbeat_interval_s, self._send_heartbeats)
        self.list_reader.start()

    def send_leave(self) -> None:
        """Announce the stop, so that others take over shards and connections without delay.

        All later heartbeats say so too: one that does not would undo it.
        """
        self.is_leaving = True
        for address in self._targets():
            self.spindle.transport.send(address, self._heartbeat(address, False))

    def is_plan_confirmed(self) -> bool:
        """Return whether the plan was recently confirmed as the newest.

        If no control instance with a quorum answers, a plan that this instance has
        held for `PLAN_CONFIRMATION_TIMEOUT_S` counts as confirmed.
        """
        now = self.spindle.clock.now()
        return (
            now - self.plan_confirmed_at < PLAN_CONFIRMATION_TTL_S
            or now - self.plan_received_at > PLAN_CONFIRMATION_TIMEOUT_S
        )

    def quorum_age_s(self) -> float:
        """Return the seconds since the last reported contact with a quorum."""
        return self.spindle.clock.now() - self.quorum_contact_at

    def was_plan_confirmed(self) -> bool:
        """Return whether a plan was confirmed at least once since the start."""
        if not self.plan_confirmed_once:
            self.plan_confirmed_once = self.is_plan_confirmed()
        return self.plan_confirmed_once

    def _heartbeat_interval_s(self) -> float:
        return HEARTBEAT_INTERVAL_S if self.plan_confirmed_once else FAST_HEARTBEAT_INTERVAL_S

    def _send_heartbeats(self) -> None:
        now = self.spindle.clock.now()
        self._log_quorum_contact()
        self.heartbeat_count += 1
        targets = self._targets()
        age_s = self.quorum_age_s()
        for rank, address in enumerate(targets):
            if not is_heartbeat_due(self.heartbeat_count, rank, self.plan_confirmed_once, age_s):
                continue
            primary = rank == 0
            self._reconnect_if_unresponsive(now, address, primary)
            self.unanswered_since.setdefault(address, now)
            self.spindle.transport.send(address, self._heartbeat(address, primary))
        self.quarantine.expire()
        for expired in self.table.expire(now):
            self.spindle.transport.disconnect(expired.address)

    def _log_quorum_contact(self) -> None:
        age_s = self.quorum_age_s()
        in_contact = age_s <= QUORUM_TIMEOUT_S
        if in_contact == self.has_quorum_contact:
            return
        self.has_quorum_contact = in_contact
        event = "quorum-regained" if in_contact else "quorum-lost"
        _LOGGER.warning("fleet: %s", event, extra={"event": event, "age": round(age_s, 1)})

    def _heartbeat(self, address: str, primary: bool) -> EntryBeat:
        return EntryBeat(
            self.own_instance,
            primary,
            self.plan.version,
            self.list_cache.newest.digest,
            self.is_leaving,
            instances_digest(self.peers) if self.peers else "",
            self.controls_digests.get(address, ""),
            self.quarantine.digest(),
        )

    def _targets(self) -> list[str]:
        now = self.spindle.clock.now()
        targets = choose_heartbeat_targets(
            now, self.own_instance, self.table, self.fleet.seeds, self.primary, self.responded_at
        )
        self.primary = targets[0]
        return targets

    def _reconnect_if_unresponsive(self, now: float, address: str, primary: bool) -> None:
        last_response_at = max(
            self.responded_at.get(address, -math.inf), self.unanswered_since.get(address, now)
        )
        timeout_s = const.RECONNECT_TIMEOUT_S if primary else const.RECONNECT_SECONDARY_TIMEOUT_S
        if now - last_response_at > timeout_s:
            self.spindle.transport.disconnect(address)
            self.unanswered_since[address] = now
            self.controls_digests.pop(address, None)

    def _on_heartbeat(self, _sender: str, heartbeat: ControlBeat) -> None:
        now = self.spindle.clock.now()
        self._update_controls(now, heartbeat)
        self.quorum_contact_at = max(
            self.quorum_contact_at, now - heartbeat.quorum_age_ms / MS_PER_S
        )
        if heartbeat.peers:
            self.peers = heartbeat.peers
        if heartbeat.quorum_age_ms < PLAN_CONFIRMATION_TTL_S * MS_PER_S:
            if heartbeat.plan_version <= self.plan.version:
                self.plan_confirmed_at = now
            if heartbeat.entries != self.entry_instance_count:
                self.entry_instance_count = max(1, heartbeat.entries)
                self.spindle.bus.fire(
                    UpstreamListUpdated(self.list_cache.newest, self.entry_instance_count)
                )
        self.list_cache.refresh(heartbeat.list_digest, now - heartbeat.list_age_ms / MS_PER_S)

    def _update_controls(self, now: float, heartbeat: ControlBeat) -> None:
        if heartbeat.controls is None:
            self.table.refresh_role(now, const.ROLE_CONTROL)
        else:
            for observed in heartbeat.controls:
                self.table.observe_indirect(now, observed)
        control = self.table.instances.get(heartbeat.control)
        if control is None:
            return
        self.quarantine.synchronize(control.address, heartbeat.quarantine_digest)
        self.responded_at[control.address] = now
        self.unanswered_since.pop(control.address, None)
        if heartbeat.controls is not None:
            controls = tuple(observed.instance for observed in heartbeat.controls)
            self.controls_digests[control.address] = instances_digest(controls)

    def _on_plan(self, sender: str, push: PlanPush) -> None:
        if push.version <= self.plan.version:
            return
        try:
            plan = self.plan_codec.decode(zlib.decompress(push.document))
        except (PlanError, zlib.error) as err:
            _LOGGER.error("fleet: dropped malformed plan %s: %s", push.version, err)
            return
        self.plan = plan
        self.plan_received_at = min(self.plan_received_at, self.spindle.clock.now())
        _LOGGER.info(
            "fleet: plan %s in force",
            plan.version,
            extra={"event": "plan", "version": plan.version, "source": sender},
        )
        self.spindle.bus.fire(PlanUpdated(plan))

    def _on_list(self, _sender: str, push: ListPush) -> None:
        self._on_read(self.list_reader.on_push(push))

    def _on_read(self, changed: bool) -> None:
        if changed:
            self.spindle.bus.fire(
                UpstreamListUpdated(self.list_cache.newest, self.entry_instance_count)
            )
