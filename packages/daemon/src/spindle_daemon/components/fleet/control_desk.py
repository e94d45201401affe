"""Fleet discovery of a control instance."""

import logging
import urllib.parse

import gevent

from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.components.fleet.const import (
    FAST_HELLO_INTERVAL_S,
    FIRST_MEMBERS_SENT_S,
    HELLO_FULL_EVERY,
    HELLO_INTERVAL_S,
    LIST_PUSH_MAX_AGE_S,
)
from spindle_daemon.components.fleet.list_reader import UpstreamListReader
from spindle_daemon.components.fleet.own_fleet_instance import create_fleet_instance
from spindle_daemon.components.fleet.upstream_list_codec import encode_upstream_list
from spindle_daemon.components.quarantine.control_quarantine import ControlQuarantine
from spindle_daemon.core.platform_adapter import PlatformAdapter
from spindle_daemon.core.settings_reloaded import SettingsReloaded
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.periodic import run_periodically
from spindle_daemon.settings.fleet_settings import FleetSettings
from spindle_decisions.consensus.member import Member
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

# Limit of the ages in messages, as an age without any observation is infinite.
MAX_REPORT_AGE_S = 1e6


class ControlFleetCoordinator:
    """Discovers instances, bootstraps the deployment, answers heartbeats and pushes updates."""

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
        self.own_instance = create_fleet_instance(spindle)
        self.table = FleetTable()
        self.gossip_sets = GossipSets()
        self.list_cache = UpstreamListCache()
        self.seed_bootstrap = SeedBootstrap(
            self.own_instance.address,
            self.own_instance.name,
            folder_id,
            fleet.seeds if fleet.founding else (),
            spindle.clock.now(),
        )
        self.entry_heartbeats: dict[str, EntryBeat] = {}
        self.quarantine = ControlQuarantine(
            spindle, self._primary_entry_addresses, self._other_control_addresses
        )
        self.pushed_version = 0
        self.hello_count = 0
        self.reconnected_at: dict[str, float] = {}
        self.list_reader = UpstreamListReader(
            spindle.clock,
            self.list_cache,
            adapter.upstreams,
            self._list_refresh_age_s,
            self._on_read,
        )
        spindle.bus.listen(SettingsReloaded, self._on_settings)
        transport = spindle.transport
        transport.register_handler(FleetHello, self._on_hello)
        transport.register_handler(EntryBeat, self._on_heartbeat)
        transport.register_handler(ListPush, self._on_list)

    def _on_settings(self, event: SettingsReloaded) -> None:
        if event.settings.fleet is not None:
            self.fleet = event.settings.fleet

    def start(self) -> None:
        """Start the greenlets."""
        gevent.spawn(run_periodically, "fleet", self._hello_interval_s, self._send_hello)
        self.list_reader.start()

    def mesh_address_of(self, name: str) -> str | None:
        """Return the mesh address of a known process, else `None`."""
        instance = self.table.instances.get(name)
        return instance.address if instance else None

    def live_instances(self) -> list[LiveInstance]:
        """Return the live processes; all have their admin endpoint on the same port."""
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
        """Send a new plan to the entry instances whose primary control instance this is."""
        push = self._plan_push()
        if push.version <= self.pushed_version:
            return
        self.pushed_version = push.version
        for heartbeat in self.entry_heartbeats.values():
            if heartbeat.primary and heartbeat.plan_version < push.version:
                self.spindle.transport.send(heartbeat.instance.address, push)

    def _hello_interval_s(self) -> float:
        return HELLO_INTERVAL_S if self._has_leader() else FAST_HELLO_INTERVAL_S

    def _has_leader(self) -> bool:
        node = self.driver.node
        return node.leader is not None or node.role is Role.LEADER

    def _send_hello(self) -> None:
        now = self.spindle.clock.now()
        self.table.observe(now, self.own_instance)
        self._try_bootstrap(now)
        self._expire_instances(now)
        self.quarantine.expire()
        others = self.table.recently_seen(now, const.ROLE_CONTROL, const.EXPIRE_AFTER_S)
        self.driver.node.update_known_peers(frozenset(item.name for item in others))
        self.hello_count += 1
        is_full = self.hello_count % HELLO_FULL_EVERY == 0 or not self._has_leader()
        hello = FleetHello(
            instance=self.own_instance,
            folder_id=self.folder_id,
            founding=self.seed_bootstrap.is_seed,
            heard=(),
            list_digest=self.list_cache.newest.digest,
            list_age_ms=self._list_age_ms(now),
            first_members=self._first_members(now),
        )
        short_hello = hello
        if is_full:
            hello = self.gossip_sets.with_instances(
                hello, self.table.direct_observations(now, const.SHARE_LIVENESS_TIMEOUT_S)
            )
            short_hello = without_instances(hello)
        names = {item.address: item.name for item in others}
        for address in sorted({*names, *self.fleet.seeds} - {self.own_instance.address}):
            has_set = self.gossip_sets.is_held_by(names.get(address, ""), hello.heard_digest)
            self.spindle.transport.send(address, short_hello if has_set else hello)

    def _on_hello(self, _sender: str, hello: FleetHello) -> None:
        now = self.spindle.clock.now()
        self.table.observe(now, hello.instance)
        for observed in self.gossip_sets.receive_hello(self.own_instance.name, hello):
            if observed.instance.name != self.own_instance.name:
                self.table.observe_indirect(now, observed)
        self.seed_bootstrap.on_hello(hello)
        self._try_bootstrap(now)
        self.list_cache.refresh(hello.list_digest, now - hello.list_age_ms / MS_PER_S)
        list_differs = hello.list_digest != self.list_cache.newest.digest
        if list_differs and self._list_age_ms(now) < min(
            hello.list_age_ms, LIST_PUSH_MAX_AGE_S * MS_PER_S
        ):
            self._push_list(hello.instance.address)

    def _first_members(self, now: float) -> tuple[Member, ...]:
        """Return the first membership for a while: later nobody bootstraps any more."""
        created = self.seed_bootstrap.created
        is_recent = now < self.seed_bootstrap.absent_at + FIRST_MEMBERS_SENT_S
        return created.members if created is not None and is_recent else ()

    def _try_bootstrap(self, now: float) -> None:
        if self.driver.node.role is not Role.BLANK:
            return
        membership = self.seed_bootstrap.initial_membership(now)
        if membership is None:
            return
        names = ", ".join(member.name for member in membership.members)
        try:
            self.driver.node.bootstrap(membership)
        except MembershipChangeError as err:
            _LOGGER.warning("fleet: bootstrap refused: %s", err, extra={"event": "not-founded"})
            return
        _LOGGER.info("fleet: bootstrapped with members %s", names, extra={"event": "founded"})
        self.driver.process_ready()

    def _on_heartbeat(self, _sender: str, heartbeat: EntryBeat) -> None:
        name = heartbeat.instance.name
        if heartbeat.leaving:
            self.entry_heartbeats.pop(name, None)
            self.table.remove(name)
            return
        now = self.spindle.clock.now()
        previous = self.entry_heartbeats.get(name)
        self.table.observe(now, heartbeat.instance)
        self.entry_heartbeats[name] = heartbeat
        entries = self.table.recently_seen(now, const.ROLE_ENTRY, const.SHARE_LIVENESS_TIMEOUT_S)
        quorum_age_s = min(self.driver.node.quorum_contact_age_s(now), MAX_REPORT_AGE_S)
        plan = self.driver.state.plan
        address = heartbeat.instance.address
        reply = ControlBeat(
            control=self.own_instance.name,
            controls=self._changed_controls(now, heartbeat),
            entries=len(entries),
            plan_version=plan.version,
            quorum_age_ms=int(quorum_age_s * MS_PER_S),
            list_digest=self.list_cache.newest.digest,
            list_age_ms=self._list_age_ms(now),
            peers=self._changed_peers(now, heartbeat),
            quarantine_digest=self.quarantine.digest(),
        )
        self.spindle.transport.send(address, reply)
        self.quarantine.synchronize(address, heartbeat.quarantine_digest)
        is_repeated = previous is not None and previous.plan_version == heartbeat.plan_version
        if heartbeat.plan_version < plan.version and (heartbeat.primary or is_repeated):
            self.spindle.transport.send(address, self._plan_push())
        is_outdated = heartbeat.list_digest != self.list_cache.newest.digest
        if is_outdated and self._list_age_ms(now) < LIST_PUSH_MAX_AGE_S * MS_PER_S:
            self._push_list(address)

    def _changed_controls(
        self, now: float, heartbeat: EntryBeat
    ) -> tuple[ObservedInstance, ...] | None:
        controls = self.table.recently_seen(now, const.ROLE_CONTROL, const.SHARE_LIVENESS_TIMEOUT_S)
        if instances_digest(tuple(controls)) == heartbeat.controls_digest:
            return None
        return tuple(ObservedInstance(item, 0) for item in controls)

    def _changed_peers(self, now: float, heartbeat: EntryBeat) -> tuple[FleetInstance, ...] | None:
        peers = tuple(
            item
            for item in self.table.recently_seen(
                now, const.ROLE_ENTRY, const.OWNER_LIVENESS_TIMEOUT_S
            )
            if item.data_center == heartbeat.instance.data_center
        )
        return None if instances_digest(peers) == heartbeat.peers_digest else peers

    def _on_list(self, _sender: str, push: ListPush) -> None:
        if self.list_reader.on_push(push):
            self._broadcast_list([])

    def _on_read(self, changed: bool) -> None:
        if not changed:
            return
        self._broadcast_list(self._other_control_addresses())

    def _other_control_addresses(self) -> list[str]:
        now = self.spindle.clock.now()
        others = self.table.recently_seen(now, const.ROLE_CONTROL, const.LIVENESS_TIMEOUT_S)
        return [item.address for item in others if item.name != self.own_instance.name]

    def _primary_entry_addresses(self) -> list[str]:
        heartbeats = self.entry_heartbeats.values()
        return [item.instance.address for item in heartbeats if item.primary]

    def _broadcast_list(self, control_addresses: list[str]) -> None:
        for address in (*control_addresses, *self._primary_entry_addresses()):
            self._push_list(address)

    def _push_list(self, address: str) -> None:
        now = self.spindle.clock.now()
        self.spindle.transport.send(
            address, encode_upstream_list(self.list_cache.newest, self._list_age_ms(now))
        )

    def _plan_push(self) -> PlanPush:
        plan = self.driver.state.plan
        return PlanPush(plan.version, plan.document)

    def _list_refresh_age_s(self) -> float:
        now = self.spindle.clock.now()
        live = self.table.recently_seen(now, const.ROLE_CONTROL, const.LIVENESS_TIMEOUT_S)
        node = self.driver.node
        leader = self.own_instance.name if node.role is Role.LEADER else node.leader
        return refresh_age_s(self.own_instance.name, leader, [item.name for item in live])

    def _list_age_ms(self, now: float) -> int:
        return int(min(self.list_cache.age_s(now), MAX_REPORT_AGE_S) * MS_PER_S)

    def _expire_instances(self, now: float) -> None:
        for expired in self.table.expire(now):
            _LOGGER.info("fleet: %s expired", expired.name, extra={"event": "forgotten"})
            self.entry_heartbeats.pop(expired.name, None)
            self.gossip_sets.remove_peer(expired.name)
            self.spindle.transport.disconnect(expired.address)
        for instance in self.table.instances.values():
            if self.table.age_s(now, instance.name) > const.RECONNECT_TIMEOUT_S:
                self._reconnect(now, instance)

    def _reconnect(self, now: float, instance: FleetInstance) -> None:
        if now - self.reconnected_at.get(instance.name, 0.0) < const.RECONNECT_TIMEOUT_S:
            return
        self.reconnected_at[instance.name] = now
        self.spindle.transport.disconnect(instance.address)
