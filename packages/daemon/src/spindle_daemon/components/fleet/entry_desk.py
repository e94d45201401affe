"""The fleet as an entry instance takes part in it."""

import logging
import math
import zlib

import gevent

from spindle_daemon.components.fleet.const import (
    BEAT_HASTY_S,
    BEAT_S,
    PLAN_SURE_S,
    PLAN_SURE_WAIT_S,
)
from spindle_daemon.components.fleet.fleet_instance import fleet_instance
from spindle_daemon.components.fleet.list_reader import ListReader
from spindle_daemon.components.fleet.plan_taken import PlanTaken
from spindle_daemon.components.fleet.upstreams_taken import UpstreamsTaken
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


class EntryDesk:
    """Beats to some control instances and takes whatever is newer from any of them.

    A control instance pushes only what was agreed, so the highest version of the plan
    is the one to have, whoever sends it; the instance never takes a lower one.
    """

    def __init__(self, spindle: Spindle, fleet: FleetSettings, adapter: PlatformAdapter) -> None:
        self.spindle = spindle
        self.fleet = fleet
        self.plans = adapter.plans
        self.me = fleet_instance(spindle)
        self.table = FleetTable()
        self.keeper = UpstreamListCache()
        self.plan = EMPTY_PLAN
        self.plan_at = math.inf
        self.sure_at = -math.inf
        self.was_sure = False
        self.quorum_at = spindle.clock.now()
        self.hears_quorum = True
        self.instances = 1
        self.peers: tuple[FleetInstance, ...] = ()
        self.asked_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.told_digests: dict[str, str] = {}
        self.first = ""
        self.beats = 0
        self.patience_s = const.LIST_REFRESH_ENTRY_S + spindle.rng.uniform(0.0, 1.0)
        self.reader = ListReader(
            spindle.clock,
            self.keeper,
            adapter.upstreams,
            lambda: self.patience_s,
            self._on_read,
        )
        spindle.bus.listen(SettingsReloaded, self._on_settings)
        transport = spindle.transport
        transport.handle(ControlBeat, self._on_beat)
        transport.handle(PlanPush, self._on_plan)
        transport.handle(ListPush, self._on_list)

    def _on_settings(self, event: SettingsReloaded) -> None:
        if event.settings.fleet is not None:
            self.fleet = event.settings.fleet

    def start(self) -> None:
        """Start the greenlets."""
        gevent.spawn(run_periodically, "fleet", self._beat_s, self._beat)
        self.reader.start()

    def leave(self) -> None:
        """Say good-bye, so that others take over the shares at once."""
        for address in self._targets():
            self.spindle.transport.send(address, self._message(address, False, leaving=True))

    def sure(self) -> bool:
        """Return whether a plan is held that was the newest a moment ago.

        Where no control instance with a quorum answers, a plan that was held for a
        while has to do.
        """
        now = self.spindle.clock.now()
        return now - self.sure_at < PLAN_SURE_S or now - self.plan_at > PLAN_SURE_WAIT_S

    def quorum_age_s(self) -> float:
        """Return the seconds since a control instance had word from a quorum."""
        return self.spindle.clock.now() - self.quorum_at

    def settled(self) -> bool:
        """Return whether a plan of this life was ever sure; a later doubt changes nothing."""
        if not self.was_sure:
            self.was_sure = self.sure()
        return self.was_sure

    def _beat_s(self) -> float:
        return BEAT_S if self.was_sure else BEAT_HASTY_S

    def _beat(self) -> None:
        now = self.spindle.clock.now()
        self._note_quorum()
        self.beats += 1
        targets = self._targets()
        age_s = self.quorum_age_s()
        for place, address in enumerate(targets):
            if not is_heartbeat_due(self.beats, place, self.was_sure, age_s):
                continue
            primary = place == 0
            self._redial(now, address, primary)
            self.asked_at.setdefault(address, now)
            self.spindle.transport.send(address, self._message(address, primary))
        for gone in self.table.expire(now):
            self.spindle.transport.forget(gone.address)

    def _note_quorum(self) -> None:
        age_s = self.quorum_age_s()
        heard = age_s <= QUORUM_TIMEOUT_S
        if heard == self.hears_quorum:
            return
        self.hears_quorum = heard
        event = "quorum-regained" if heard else "quorum-lost"
        _LOGGER.warning("fleet: %s", event, extra={"event": event, "age": round(age_s, 1)})

    def _message(self, address: str, primary: bool, leaving: bool = False) -> EntryBeat:
        return EntryBeat(
            self.me,
            primary,
            self.plan.version,
            self.keeper.newest.digest,
            leaving,
            instances_digest(self.peers) if self.peers else "",
            self.told_digests.get(address, ""),
        )

    def _targets(self) -> list[str]:
        now = self.spindle.clock.now()
        targets = choose_heartbeat_targets(
            now, self.me, self.table, self.fleet.seeds, self.first, self.answered_at
        )
        self.first = targets[0]
        return targets

    def _redial(self, now: float, address: str, primary: bool) -> None:
        since = max(self.answered_at.get(address, -math.inf), self.asked_at.get(address, now))
        patience_s = const.RECONNECT_TIMEOUT_S if primary else const.RECONNECT_SECONDARY_TIMEOUT_S
        if now - since > patience_s:
            self.spindle.transport.forget(address)
            self.asked_at[address] = now
            self.told_digests.pop(address, None)

    def _on_beat(self, _sender: str, beat: ControlBeat) -> None:
        now = self.spindle.clock.now()
        self._take_controls(now, beat)
        self.quorum_at = max(self.quorum_at, now - beat.quorum_age_ms / MS_PER_S)
        if beat.peers:
            self.peers = beat.peers
        if beat.quorum_age_ms < PLAN_SURE_S * MS_PER_S:
            if beat.plan_version <= self.plan.version:
                self.sure_at = now
            if beat.entries != self.instances:
                self.instances = max(1, beat.entries)
                self.spindle.bus.fire(UpstreamsTaken(self.keeper.newest, self.instances))
        self.keeper.refresh(beat.list_digest, now - beat.list_age_ms / MS_PER_S)

    def _take_controls(self, now: float, beat: ControlBeat) -> None:
        if beat.controls is None:
            self.table.refresh_role(now, const.ROLE_CONTROL)
        else:
            for heard in beat.controls:
                self.table.observe_indirect(now, heard)
        answering = self.table.instances.get(beat.control)
        if answering is None:
            return
        self.answered_at[answering.address] = now
        self.asked_at.pop(answering.address, None)
        if beat.controls is not None:
            told = tuple(heard.instance for heard in beat.controls)
            self.told_digests[answering.address] = instances_digest(told)

    def _on_plan(self, sender: str, push: PlanPush) -> None:
        if push.version <= self.plan.version:
            return
        try:
            plan = self.plans.decode(zlib.decompress(push.document))
        except (PlanError, zlib.error) as err:
            _LOGGER.error("fleet: plan %s dropped: %s", push.version, err)
            return
        self.plan = plan
        self.plan_at = min(self.plan_at, self.spindle.clock.now())
        _LOGGER.info(
            "fleet: plan %s in force",
            plan.version,
            extra={"event": "plan", "version": plan.version, "source": sender},
        )
        self.spindle.bus.fire(PlanTaken(plan))

    def _on_list(self, _sender: str, push: ListPush) -> None:
        self._on_read(self.reader.take_push(push))

    def _on_read(self, changed: bool) -> None:
        if changed:
            self.spindle.bus.fire(UpstreamsTaken(self.keeper.newest, self.instances))
