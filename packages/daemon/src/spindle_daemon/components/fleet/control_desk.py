"""The fleet as a control instance takes part in it."""

import logging
import urllib.parse

import gevent

from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.components.fleet.const import (
    HELLO_FULL_EVERY,
    HELLO_HASTY_S,
    HELLO_S,
    LIST_NEWS_S,
)
from spindle_daemon.components.fleet.fleet_instance import fleet_instance
from spindle_daemon.components.fleet.list_codec import encode_list
from spindle_daemon.components.fleet.list_reader import ListReader
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.settings_reloaded import SettingsReloaded
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically
from spindle_daemon.settings.fleet_settings import FleetSettings
from spindle_decisions.consensus.role import Role
from spindle_decisions.exceptions import MembershipChangeError
from spindle_decisions.fleet import const
from spindle_decisions.fleet.fleet_table import FleetTable
from spindle_decisions.fleet.gossip_sets import GossipSets, without_instances
from spindle_decisions.fleet.instances_digest import instances_digest
from spindle_decisions.fleet.list_refresh_schedule import refresh_age_s
from spindle_decisions.fleet.seed_bootstrap import SeedBootstrap
from spindle_decisions.fleet.upstream_list_cache import UpstreamListCache
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.control_beat import ControlBeat
from spindle_decisions.wire.entry_beat import EntryBeat
from spindle_decisions.wire.fleet_hello import FleetHello
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.list_push import ListPush
from spindle_decisions.wire.live_instance import LiveInstance
from spindle_decisions.wire.observed_instance import ObservedInstance
from spindle_decisions.wire.plan_push import PlanPush

_LOGGER = logging.getLogger(__name__)

LONGEST_AGE_S = 1e6


class ControlDesk:
    """Meets the other control instances, founds, answers beats and pushes news."""

    def __init__(
        self,
        spindle: Spindle,
        fleet: FleetSettings,
        adapter: PlatformAdapter,
        driver: RaftDriver,
        folder_id: str,
    ) -> None:
        self.spindle = spindle
        self.fleet = fleet
        self.driver = driver
        self.folder_id = folder_id
        self.me = fleet_instance(spindle)
        self.table = FleetTable()
        self.heard_sets = GossipSets()
        self.keeper = UpstreamListCache()
        self.founding = SeedBootstrap(
            self.me.address, self.me.name, folder_id, fleet.seeds if fleet.founding else ()
        )
        self.beats: dict[str, EntryBeat] = {}
        self.pushed_version = 0
        self.hellos = 0
        self.redialled_at: dict[str, float] = {}
        self.reader = ListReader(
            spindle.clock, self.keeper, adapter.upstreams, self._read_after_s, self._on_read
        )
        spindle.bus.listen(SettingsReloaded, self._on_settings)
        transport = spindle.transport
        transport.handle(FleetHello, self._on_hello)
        transport.handle(EntryBeat, self._on_beat)
        transport.handle(ListPush, self._on_list)

    def _on_settings(self, event: SettingsReloaded) -> None:
        if event.settings.fleet is not None:
            self.fleet = event.settings.fleet

    def start(self) -> None:
        """Start the greenlets."""
        gevent.spawn(run_periodically, "fleet", self._hello_s, self._say_hello)
        self.reader.start()

    def address_of(self, name: str) -> str | None:
        """Return the mesh address of a process that was met."""
        known = self.table.instances.get(name)
        return known.address if known else None

    def live_instances(self) -> list[LiveInstance]:
        """Return whom an operator may ask; all have their admin endpoint on the same port."""
        now = self.spindle.clock.now()
        port = self.spindle.settings.admin.port
        return [
            LiveInstance(
                item.name,
                item.incarnation,
                item.data_center,
                item.role,
                item.address,
                urllib.parse.urlsplit(item.address).hostname or "",
                port,
                leaving=False,
            )
            for role in (const.ROLE_CONTROL, const.ROLE_ENTRY)
            for item in self.table.recently_seen(now, role, const.SHARE_LIVENESS_TIMEOUT_S)
        ]

    def push_plan(self) -> None:
        """Send the plan in force to the entry instances that count on this one."""
        push = self._plan_push()
        if push.version <= self.pushed_version:
            return
        self.pushed_version = push.version
        for beat in self.beats.values():
            if beat.primary and beat.plan_version < push.version:
                self.spindle.transport.send(beat.instance.address, push)

    def _hello_s(self) -> float:
        return HELLO_S if self._led() else HELLO_HASTY_S

    def _led(self) -> bool:
        node = self.driver.node
        return node.leader is not None or node.role is Role.LEADER

    def _say_hello(self) -> None:
        now = self.spindle.clock.now()
        self.table.observe(now, self.me)
        self._forget_silent(now)
        others = self.table.recently_seen(now, const.ROLE_CONTROL, const.EXPIRE_AFTER_S)
        self.driver.node.update_known_peers(frozenset(item.name for item in others))
        self.hellos += 1
        full = self.hellos % HELLO_FULL_EVERY == 0 or not self._led()
        hello = FleetHello(
            instance=self.me,
            folder_id=self.folder_id,
            founding=self.founding.is_seed,
            heard=(),
            list_digest=self.keeper.newest.digest,
            list_age_ms=self._list_age_ms(now),
        )
        told = hello
        if full:
            hello = self.heard_sets.with_instances(
                hello, self.table.direct_observations(now, const.SHARE_LIVENESS_TIMEOUT_S)
            )
            told = without_instances(hello)
        names = {item.address: item.name for item in others}
        for address in sorted({*names, *self.fleet.seeds} - {self.me.address}):
            held = self.heard_sets.is_held_by(names.get(address, ""), hello.heard_digest)
            self.spindle.transport.send(address, told if held else hello)

    def _on_hello(self, _sender: str, hello: FleetHello) -> None:
        now = self.spindle.clock.now()
        self.table.observe(now, hello.instance)
        for heard in self.heard_sets.receive_hello(self.me.name, hello):
            if heard.instance.name != self.me.name:
                self.table.observe_indirect(now, heard)
        self._found(hello)
        self.keeper.refresh(hello.list_digest, now - hello.list_age_ms / MS_PER_S)
        differs = hello.list_digest != self.keeper.newest.digest
        if differs and self._list_age_ms(now) < min(hello.list_age_ms, LIST_NEWS_S * MS_PER_S):
            self._push_list(hello.instance.address)

    def _found(self, hello: FleetHello) -> None:
        if self.driver.node.role is not Role.BLANK:
            return
        self.founding.on_hello(hello)
        membership = self.founding.initial_membership()
        if membership is None:
            return
        names = ", ".join(member.name for member in membership.members)
        try:
            self.driver.node.bootstrap(membership)
        except MembershipChangeError as err:
            _LOGGER.warning("fleet: not founded: %s", err, extra={"event": "not-founded"})
            return
        _LOGGER.info("fleet: founded by %s", names, extra={"event": "founded"})
        self.driver.pump()

    def _on_beat(self, _sender: str, beat: EntryBeat) -> None:
        name = beat.instance.name
        if beat.leaving:
            self.beats.pop(name, None)
            self.table.remove(name)
            return
        now = self.spindle.clock.now()
        before = self.beats.get(name)
        self.table.observe(now, beat.instance)
        self.beats[name] = beat
        entries = self.table.recently_seen(now, const.ROLE_ENTRY, const.SHARE_LIVENESS_TIMEOUT_S)
        quorum_age_s = min(self.driver.node.quorum_contact_age_s(now), LONGEST_AGE_S)
        plan = self.driver.state.plan
        address = beat.instance.address
        reply = ControlBeat(
            control=self.me.name,
            controls=self._controls(now, beat),
            entries=len(entries),
            plan_version=plan.version,
            quorum_age_ms=int(quorum_age_s * MS_PER_S),
            list_digest=self.keeper.newest.digest,
            list_age_ms=self._list_age_ms(now),
            peers=self._peers(now, beat),
        )
        self.spindle.transport.send(address, reply)
        again = before is not None and before.plan_version == beat.plan_version
        if beat.plan_version < plan.version and (beat.primary or again):
            self.spindle.transport.send(address, self._plan_push())
        lacks = beat.list_digest != self.keeper.newest.digest
        if lacks and self._list_age_ms(now) < LIST_NEWS_S * MS_PER_S:
            self._push_list(address)

    def _controls(self, now: float, beat: EntryBeat) -> tuple[ObservedInstance, ...] | None:
        controls = self.table.recently_seen(now, const.ROLE_CONTROL, const.SHARE_LIVENESS_TIMEOUT_S)
        if instances_digest(tuple(controls)) == beat.controls_digest:
            return None
        return tuple(ObservedInstance(item, 0) for item in controls)

    def _peers(self, now: float, beat: EntryBeat) -> tuple[FleetInstance, ...] | None:
        peers = tuple(
            item
            for item in self.table.recently_seen(
                now, const.ROLE_ENTRY, const.OWNER_LIVENESS_TIMEOUT_S
            )
            if item.data_center == beat.instance.data_center
        )
        return None if instances_digest(peers) == beat.peers_digest else peers

    def _on_list(self, _sender: str, push: ListPush) -> None:
        if self.reader.take_push(push):
            self._tell_list(())

    def _on_read(self, changed: bool) -> None:
        if not changed:
            return
        now = self.spindle.clock.now()
        others = self.table.recently_seen(now, const.ROLE_CONTROL, const.LIVENESS_TIMEOUT_S)
        self._tell_list(tuple(item.address for item in others if item.name != self.me.name))

    def _tell_list(self, more: tuple[str, ...]) -> None:
        entries = tuple(beat.instance.address for beat in self.beats.values() if beat.primary)
        for address in (*more, *entries):
            self._push_list(address)

    def _push_list(self, address: str) -> None:
        now = self.spindle.clock.now()
        self.spindle.transport.send(
            address, encode_list(self.keeper.newest, self._list_age_ms(now))
        )

    def _plan_push(self) -> PlanPush:
        plan = self.driver.state.plan
        return PlanPush(plan.version, plan.document)

    def _read_after_s(self) -> float:
        now = self.spindle.clock.now()
        live = self.table.recently_seen(now, const.ROLE_CONTROL, const.LIVENESS_TIMEOUT_S)
        node = self.driver.node
        leader = self.me.name if node.role is Role.LEADER else node.leader
        return refresh_age_s(self.me.name, leader, [item.name for item in live])

    def _list_age_ms(self, now: float) -> int:
        return int(min(self.keeper.age_s(now), LONGEST_AGE_S) * MS_PER_S)

    def _forget_silent(self, now: float) -> None:
        for gone in self.table.expire(now):
            _LOGGER.info("fleet: %s forgotten", gone.name, extra={"event": "forgotten"})
            self.beats.pop(gone.name, None)
            self.heard_sets.remove_peer(gone.name)
            self.spindle.transport.forget(gone.address)
        for instance in self.table.instances.values():
            if self.table.age_s(now, instance.name) > const.RECONNECT_TIMEOUT_S:
                self._redial(now, instance)

    def _redial(self, now: float, instance: FleetInstance) -> None:
        if now - self.redialled_at.get(instance.name, 0.0) < const.RECONNECT_TIMEOUT_S:
            return
        self.redialled_at[instance.name] = now
        self.spindle.transport.forget(instance.address)
