"""Table of instances: heartbeats, incarnations, suspicion and leaves."""

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
from spindle_decisions.wire.unresponsive_instance import UnresponsiveInstance


class InstanceTable:
    """Instances whose heartbeats this or another control instance receives.

    An instance without heartbeats first becomes suspect and still counts, since it
    may still use its share of connections. It is dropped only after `EXPIRE_AFTER_S`.
    An instance that announced its leave is dropped at once, and a late heartbeat of
    the same or an older incarnation does not add it again.
    """

    def __init__(self) -> None:
        self.records: dict[str, InstanceRecord] = {}
        self.left_incarnations: dict[str, int] = {}

    def on_heartbeat(self, now: float, heartbeat: Heartbeat) -> bool:
        """Handle a direct heartbeat; return whether it changed the membership."""
        return self._update(
            InstanceRecord(heartbeat.live, heartbeat.config_version, heartbeat.config_digest, now)
        )

    def on_report(self, now: float, control: str, report: InstanceReport) -> bool:
        """Handle a report of another control instance; return whether the membership changed."""
        last_seen_at = now - report.age_ms / MS_PER_S
        record = InstanceRecord(
            report.live, report.config_version, report.config_digest, last_seen_at, control
        )
        return self._update(record)

    def refresh_reports(
        self, now: float, control: str, unresponsive: Iterable[UnresponsiveInstance]
    ) -> None:
        """Refresh the instances that a control instance reported; unresponsive ones by age."""
        ages = {item.instance: item.age_ms / MS_PER_S for item in unresponsive}
        for name, record in self.records.items():
            if record.reported_by == control:
                last_seen_at = max(record.last_seen_at, now - ages.get(name, 0.0))
                self.records[name] = dataclasses.replace(record, last_seen_at=last_seen_at)

    def on_leave(self, leave: Leave) -> bool:
        """Drop an instance that has stopped; return whether it was known."""
        self.left_incarnations[leave.instance] = max(
            leave.incarnation, self.left_incarnations.get(leave.instance, 0)
        )
        known = self.records.get(leave.instance)
        if known is None or known.live.incarnation > leave.incarnation:
            return False
        del self.records[leave.instance]
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop instances not seen for `EXPIRE_AFTER_S`; return their names."""
        expired = tuple(
            name
            for name, record in self.records.items()
            if now - record.last_seen_at > EXPIRE_AFTER_S
        )
        for name in expired:
            del self.records[name]
        return expired

    def live_instances(self) -> tuple[LiveInstance, ...]:
        """Return all instances that count, suspect ones included, sorted by name."""
        return tuple(self.records[name].live for name in sorted(self.records))

    def digest(self) -> str:
        """Return the digest of `live_instances()`."""
        return live_digest(self.live_instances())

    def is_suspect(self, now: float, name: str) -> bool:
        """Return whether an instance was not seen for `SUSPECT_AFTER_S`."""
        return now - self.records[name].last_seen_at > SUSPECT_AFTER_S

    def reports(self, now: float) -> tuple[InstanceReport, ...]:
        """Return reports of all instances with their age, sorted by name."""
        return tuple(self._report(now, self.records[name]) for name in sorted(self.records))

    def reports_from(self, now: float, control: str) -> tuple[InstanceReport, ...]:
        """Return reports of the instances that one control instance reported, sorted by name."""
        names = sorted(
            name for name, record in self.records.items() if record.reported_by == control
        )
        return tuple(self._report(now, self.records[name]) for name in names)

    def direct_reports(self, now: float) -> tuple[InstanceReport, ...]:
        """Return reports of the instances with direct heartbeats, sorted by name."""
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
    """Merge two records of one incarnation; `leaving` and the version never go back."""
    newer = record if record.last_seen_at >= known.last_seen_at else known
    leaving = known.live.leaving or record.live.leaving
    latest_config = max((known, record), key=lambda item: item.config_version)
    return dataclasses.replace(
        newer,
        live=msgspec.structs.replace(newer.live, leaving=leaving),
        config_version=latest_config.config_version,
        config_digest=latest_config.config_digest,
        last_seen_at=max(known.last_seen_at, record.last_seen_at),
    )
