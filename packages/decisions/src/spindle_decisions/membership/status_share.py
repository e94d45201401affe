"""Sharing of direct reports between control instances by deltas."""

import msgspec
import xxhash

from spindle_decisions.membership.const import FRESH_AGE_MS, FULL_STATUS_EVERY
from spindle_decisions.membership.instance_table import InstanceTable
from spindle_decisions.wire.control_status import ControlStatus
from spindle_decisions.wire.instance_report import InstanceReport
from spindle_decisions.wire.unresponsive_instance import UnresponsiveInstance


class StatusShare:
    """Makes and takes in the status messages of control instances.

    A message carries what changed, the names that fell silent, and a digest of
    everything. Most messages are therefore a few dozen bytes however many
    instances there are; a receiver that lost a message finds another digest
    and asks for everything, and everything is sent now and then anyway.
    """

    def __init__(self, control: str, table: InstanceTable) -> None:
        self.control = control
        self.table = table
        self.shared: dict[str, InstanceReport] = {}
        self.round = 0

    def next_status(self, now: float) -> ControlStatus:
        """Return the message of this period."""
        reports = self.table.direct_reports(now)
        full = self.round % FULL_STATUS_EVERY == 0
        self.round += 1
        changed = reports if full else tuple(item for item in reports if self._changed(item))
        self.shared = {item.live.instance: item for item in reports}
        return self._status(reports, changed, full)

    def full_status(self, now: float) -> ControlStatus:
        """Return a message with everything, for one that asked."""
        reports = self.table.direct_reports(now)
        return self._status(reports, reports, full=True)

    def take(self, now: float, status: ControlStatus) -> bool:
        """Take in a message; return false when everything has to be asked for."""
        for report in status.reports:
            self.table.reported(now, status.control, report)
        self.table.refresh(now, status.control, status.unresponsive)
        held = self.table.reports_via(now, status.control)
        return status.full or report_digest(held) == status.digest

    def _status(
        self, reports: tuple[InstanceReport, ...], sent: tuple[InstanceReport, ...], full: bool
    ) -> ControlStatus:
        silent = tuple(
            UnresponsiveInstance(item.live.instance, item.age_ms)
            for item in reports
            if item.age_ms > FRESH_AGE_MS
        )
        return ControlStatus(self.control, full, report_digest(reports), sent, silent)

    def _changed(self, report: InstanceReport) -> bool:
        known = self.shared.get(report.live.instance)
        if known is None:
            return True
        return (known.live, known.config_version) != (report.live, report.config_version)


def report_digest(reports: tuple[InstanceReport, ...]) -> str:
    """Return the digest of reports without their ages."""
    kept = [(item.live, item.config_version) for item in reports]
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(kept))
