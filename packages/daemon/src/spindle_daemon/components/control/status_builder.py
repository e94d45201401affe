"""Builds the status of a deployment from the view of a control instance."""

from spindle_daemon.components.control.instance_registry import InstanceRegistry
from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.operator.data_center_status import DataCenterStatus
from spindle_decisions.operator.status_reply import StatusReply
from spindle_decisions.wire.instance_report import InstanceReport


def build_status(spindle: Spindle, driver: RaftDriver, registry: InstanceRegistry) -> StatusReply:
    """Build the status from the replicated state and the received heartbeats."""
    now = spindle.clock.now()
    catalog = driver.state.catalog
    node = driver.node
    reports = registry.table.reports(now)
    names = {item.name for item in catalog.data_centers}
    names.update(report.live.data_center for report in reports)
    return StatusReply(
        control=spindle.settings.instance.name,
        role=node.role.name.lower(),
        term=node.term,
        leader=node.leader or "",
        stale=node.is_stale(now),
        quorum_age_ms=int(min(node.quorum_contact_age_s(now), 1e9) * 1000),
        version=catalog.version,
        digest=registry.catalog_version().digest,
        applied_index=driver.applied_index,
        data_centers=tuple(_data_center(name, catalog.version, reports) for name in sorted(names)),
    )


def _data_center(name: str, version: int, reports: tuple[InstanceReport, ...]) -> DataCenterStatus:
    data_center_reports = [report for report in reports if report.live.data_center == name]
    unconfirmed = tuple(
        item.live.instance for item in data_center_reports if item.config_version < version
    )
    unresponsive = tuple(item.live.instance for item in data_center_reports if item.suspected)
    return DataCenterStatus(
        data_center=name,
        version=min((item.config_version for item in data_center_reports), default=0),
        instances=len(data_center_reports),
        in_force=bool(data_center_reports) and not unconfirmed and not unresponsive,
        unconfirmed=unconfirmed,
        unresponsive=unresponsive,
        oldest_age_ms=max((item.age_ms for item in data_center_reports), default=0),
    )
