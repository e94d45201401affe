"""The table of instances: heartbeats, incarnations, suspicion and told departures."""

import dataclasses
from collections.abc import Iterable

import msgspec
import xxhash

from spindle_decisions.membership.const import FORGET_AFTER_S, SUSPECT_AFTER_S
from spindle_decisions.membership.instance_entry import DIRECT, InstanceEntry
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.heartbeat import Heartbeat
from spindle_decisions.wire.instance_report import InstanceReport
from spindle_decisions.wire.leave import Leave
from spindle_decisions.wire.live_instance import LiveInstance
from spindle_decisions.wire.unresponsive_instance import UnresponsiveInstance


class InstanceTable:
    """Instances heard directly by this control instance or through another one.

    An instance that falls silent is suspected first and still counted, since
    it may go on using its share of connections; only after `FORGET_AFTER_S` it
    is dropped. An instance that told its departure is dropped at once, and a
    late heartbeat of the same or an older incarnation does not bring it back.
    """

    def __init__(self) -> None:
        self.entries: dict[str, InstanceEntry] = {}
        self.left: dict[str, int] = {}

    def heard(self, now: float, beat: Heartbeat) -> bool:
        """Take in a direct heartbeat; return true when the membership changed by it."""
        return self._take(InstanceEntry(beat.live, beat.config_version, beat.config_digest, now))

    def reported(self, now: float, control: str, report: InstanceReport) -> bool:
        """Take in what another control instance heard; return true on a change."""
        heard_at = now - report.age_ms / MS_PER_S
        entry = InstanceEntry(
            report.live, report.config_version, report.config_digest, heard_at, control
        )
        return self._take(entry)

    def refresh(self, now: float, control: str, silent: Iterable[UnresponsiveInstance]) -> None:
        """Take in that a control instance still hears all it reported but the silent ones."""
        ages = {item.instance: item.age_ms / MS_PER_S for item in silent}
        for name, entry in self.entries.items():
            if entry.via == control:
                heard_at = max(entry.heard_at, now - ages.get(name, 0.0))
                self.entries[name] = dataclasses.replace(entry, heard_at=heard_at)

    def told_leaving(self, leave: Leave) -> bool:
        """Drop an instance that has stopped; return true when it was known."""
        self.left[leave.instance] = max(leave.incarnation, self.left.get(leave.instance, 0))
        known = self.entries.get(leave.instance)
        if known is None or known.live.incarnation > leave.incarnation:
            return False
        del self.entries[leave.instance]
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop instances that were silent for too long; return their names."""
        gone = tuple(
            name for name, entry in self.entries.items() if now - entry.heard_at > FORGET_AFTER_S
        )
        for name in gone:
            del self.entries[name]
        return gone

    def live(self) -> tuple[LiveInstance, ...]:
        """Return all instances that are counted, sorted by name."""
        return tuple(self.entries[name].live for name in sorted(self.entries))

    def digest(self) -> str:
        """Return the digest of `live()`."""
        return live_digest(self.live())

    def suspected(self, now: float, name: str) -> bool:
        """Tell whether an instance has been silent for longer than a heartbeat allows."""
        return now - self.entries[name].heard_at > SUSPECT_AFTER_S

    def reports(self, now: float) -> tuple[InstanceReport, ...]:
        """Return all instances with their age, sorted by name."""
        return tuple(self._report(now, self.entries[name]) for name in sorted(self.entries))

    def reports_via(self, now: float, control: str) -> tuple[InstanceReport, ...]:
        """Return the instances heard through one control instance, sorted by name."""
        names = sorted(name for name, entry in self.entries.items() if entry.via == control)
        return tuple(self._report(now, self.entries[name]) for name in names)

    def direct_reports(self, now: float) -> tuple[InstanceReport, ...]:
        """Return the instances that were heard directly, sorted by name."""
        return self.reports_via(now, DIRECT)

    def _take(self, entry: InstanceEntry) -> bool:
        name = entry.live.instance
        if entry.live.incarnation <= self.left.get(name, -1):
            return False
        known = self.entries.get(name)
        if known is not None and known.live.incarnation > entry.live.incarnation:
            return False
        if known is not None and known.live.incarnation == entry.live.incarnation:
            entry = _merge(known, entry)
        self.entries[name] = entry
        return known is None or known.live != entry.live

    def _report(self, now: float, entry: InstanceEntry) -> InstanceReport:
        return InstanceReport(
            live=entry.live,
            config_version=entry.config_version,
            config_digest=entry.config_digest,
            age_ms=max(0, int((now - entry.heard_at) * MS_PER_S)),
            suspected=now - entry.heard_at > SUSPECT_AFTER_S,
        )


def live_digest(live: tuple[LiveInstance, ...]) -> str:
    """Return the digest of a list of instances, 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(live))


def _merge(known: InstanceEntry, entry: InstanceEntry) -> InstanceEntry:
    """Keep the newer word of one incarnation; leaving and versions only go forward."""
    newer = entry if entry.heard_at >= known.heard_at else known
    leaving = known.live.leaving or entry.live.leaving
    best = max((known, entry), key=lambda item: item.config_version)
    return dataclasses.replace(
        newer,
        live=msgspec.structs.replace(newer.live, leaving=leaving),
        config_version=best.config_version,
        config_digest=best.config_digest,
        heard_at=max(known.heard_at, entry.heard_at),
    )
