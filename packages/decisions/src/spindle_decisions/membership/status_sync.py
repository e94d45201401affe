"""Delta exchange of direct reports between control instances."""

import msgspec
import xxhash

from spindle_decisions.membership.const import FULL_STATUS_EVERY, MAX_FRESH_AGE_MS
from spindle_decisions.membership.instance_table import InstanceTable
from spindle_decisions.wire.control_status import ControlStatus
from spindle_decisions.wire.instance_report import InstanceReport
from spindle_decisions.wire.unresponsive_instance import UnresponsiveInstance


class StatusSync:
    """Creates and applies the status messages between control instances.

    A message contains the changed reports, the instances without a recent heartbeat,
    and a digest of all reports. So most messages have a few dozen bytes, regardless of
    the number of instances. A receiver that missed a message detects it by the digest
    and requests a full one. One message in `FULL_STATUS_EVERY` is full in any case.
    """

    def __init__(self, control: str, table: InstanceTable) -> None:
        self.control = control
        self.table = table
        self.last_sent: dict[str, InstanceReport] = {}
        self.round = 0

    def next_status(self, now: float) -> ControlStatus:
        """Return the next periodic message."""
        reports = self.table.direct_reports(now)
        full = self.round % FULL_STATUS_EVERY == 0
        self.round += 1
        changed = reports if full else tuple(item for item in reports if self._changed(item))
        self.last_sent = {item.live.instance: item for item in reports}
        return self._status(reports, changed, full)

    def full_status(self, now: float) -> ControlStatus:
        """Return a full message, for a receiver that requested it."""
        reports = self.table.direct_reports(now)
        return self._status(reports, reports, full=True)

    def receive(self, now: float, status: ControlStatus) -> bool:
        """Apply a message; return false when a full one must be requested."""
        for report in status.reports:
            self.table.on_report(now, status.control, report)
        self.table.refresh_reports(now, status.control, status.unresponsive)
        known = self.table.reports_from(now, status.control)
        return status.full or report_digest(known) == status.digest

    def _status(
        self, reports: tuple[InstanceReport, ...], included: tuple[InstanceReport, ...], full: bool
    ) -> ControlStatus:
        stale = tuple(
            UnresponsiveInstance(item.live.instance, item.age_ms)
            for item in reports
            if item.age_ms > MAX_FRESH_AGE_MS
        )
        return ControlStatus(self.control, full, report_digest(reports), included, stale)

    def _changed(self, report: InstanceReport) -> bool:
        known = self.last_sent.get(report.live.instance)
        if known is None:
            return True
        return (known.live, known.config_version) != (report.live, report.config_version)


def report_digest(reports: tuple[InstanceReport, ...]) -> str:
    """Return the digest of reports without their ages."""
    content = [(item.live, item.config_version) for item in reports]
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(content))
