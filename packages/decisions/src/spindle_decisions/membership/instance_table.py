"""The table of instances: heartbeats, incarnations, suspicion and told departures."""

import dataclasses
from collections.abc import Iterable

import msgspec
import xxhash

from spindle_decisions.membership.const import EXPIRE_AFTER_S, SUSPECT_AFTER_S
from spindle_decisions.membership.instance_record import DIRECT, InstanceRecord
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.heartbeat import Heartbeat
from spindle_decisions.wire.instance_report import InstanceReport
from spindle_decisions.wire.leave import Leave
from spindle_decisions.wire.live_instance import LiveInstance
from spindle_decisions.wire.silent_instance import SilentInstance


class InstanceTable:
    """Instances heard directly by this control instance or through another one.

    An instance that falls silent is suspected first and still counted, since
    it may go on using its share of connections; only after `FORGET_AFTER_S` it
    is dropped. An instance that told its departure is dropped at once, and a
    late heartbeat of the same or an older incarnation does not bring it back.
    """

    def __init__(self) -> None:
        self.records: dict[str, InstanceRecord] = {}
        self.left_incarnations: dict[str, int] = {}

    def on_heartbeat(self, now: float, heartbeat: Heartbeat) -> bool:
        """Take in a direct heartbeat; return true when the membership changed by it."""
        return self._update(
            InstanceRecord(heartbeat.live, heartbeat.config_version, heartbeat.config_digest, now)
        )

    def on_report(self, now: float, control: str, report: InstanceReport) -> bool:
        """Take in what another control instance heard; return true on a change."""
        last_seen_at = now - report.age_ms / MS_PER_S
        record = InstanceRecord(
            report.live, report.config_version, report.config_digest, last_seen_at, control
        )
        return self._update(record)

    def refresh_reports(self, now: float, control: str, silent: Iterable[SilentInstance]) -> None:
        """Take in that a control instance still hears all it reported but the silent ones."""
        ages = {item.instance: item.age_ms / MS_PER_S for item in silent}
        for name, record in self.records.items():
            if record.reported_by == control:
                last_seen_at = max(record.last_seen_at, now - ages.get(name, 0.0))
                self.records[name] = dataclasses.replace(record, last_seen_at=last_seen_at)

    def on_leave(self, leave: Leave) -> bool:
        """Drop an instance that has stopped; return true when it was known."""
        self.left_incarnations[leave.instance] = max(
            leave.incarnation, self.left_incarnations.get(leave.instance, 0)
        )
        known = self.records.get(leave.instance)
        if known is None or known.live.incarnation > leave.incarnation:
            return False
        del self.records[leave.instance]
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop instances that were silent for too long; return their names."""
        expired = tuple(
            name
            for name, record in self.records.items()
            if now - record.last_seen_at > EXPIRE_AFTER_S
        )
        for name in expired:
            del self.records[name]
        return expired

    def live_instances(self) -> tuple[LiveInstance, ...]:
        """Return all instances that are counted, sorted by name."""
        return tuple(self.records[name].live for name in sorted(self.records))

    def digest(self) -> str:
        """Return the digest of `live()`."""
        return live_digest(self.live_instances())

    def is_suspect(self, now: float, name: str) -> bool:
        """Tell whether an instance has been silent for longer than a heartbeat allows."""
        return now - self.records[name].last_seen_at > SUSPECT_AFTER_S

    def reports(self, now: float) -> tuple[InstanceReport, ...]:
        """Return all instances with their age, sorted by name."""
        return tuple(self._report(now, self.records[name]) for name in sorted(self.records))

    def reports_from(self, now: float, control: str) -> tuple[InstanceReport, ...]:
        """Return the instances heard through one control instance, sorted by name."""
        names = sorted(
            name for name, record in self.records.items() if record.reported_by == control
        )
        return tuple(self._report(now, self.records[name]) for name in names)

    def direct_reports(self, now: float) -> tuple[InstanceReport, ...]:
        """Return the instances that were heard directly, sorted by name."""
        return self.reports_from(now, DIRECT)

    def _update(self, record: InstanceRecord) -> bool:
        name = record.live.instance
        if record.live.incarnation <= self.left_incarnations.get(name, -1):
            return False
        known = self.records.get(name)
        if known is not None and known.live.incarnation > record.live.incarnation:
            return False
        if known is not None and known.live.incarnation == record.live.incarnation:
            record = _merge(known, record)
        self.records[name] = record
        return known is None or known.live != record.live

    def _report(self, now: float, record: InstanceRecord) -> InstanceReport:
        return InstanceReport(
            live=record.live,
            config_version=record.config_version,
            config_digest=record.config_digest,
            age_ms=max(0, int((now - record.last_seen_at) * MS_PER_S)),
            suspected=now - record.last_seen_at > SUSPECT_AFTER_S,
        )


def live_digest(live: tuple[LiveInstance, ...]) -> str:
    """Return the digest of a list of instances, 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(live))


def _merge(known: InstanceRecord, record: InstanceRecord) -> InstanceRecord:
    """Keep the newer word of one incarnation; leaving and versions only go forward."""
    newer = record if record.last_seen_at >= known.last_seen_at else known
    leaving = known.live.leaving or record.live.leaving
    best = max((known, record), key=lambda item: item.config_version)
    return dataclasses.replace(
        newer,
        live=msgspec.structs.replace(newer.live, leaving=leaving),
        config_version=best.config_version,
        config_digest=best.config_digest,
        last_seen_at=max(known.last_seen_at, record.last_seen_at),
    )
