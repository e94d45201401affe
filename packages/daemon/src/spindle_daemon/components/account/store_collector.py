"""Metrics of the account of a control instance."""

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from spindle_daemon.components.account import const
from spindle_daemon.components.account.summary_store import SummaryStore


class StoreCollector(Collector):
    """Reads the counters of the store at each scrape."""

    def __init__(self, store: SummaryStore) -> None:
        self.store = store

    def collect(self) -> Iterable[Metric]:
        """Return the current values."""
        reports = CounterMetricFamily(
            const.METRIC_REPORTS, "Minute summaries received.", labels=[const.LABEL_RESULT]
        )
        reports.add_metric(["written"], self.store.written)
        reports.add_metric(["held"], self.store.repeated)
        reports.add_metric(["refused"], self.store.refused)
        reports.add_metric(["dropped"], self.store.dropped)
        reports.add_metric(["failed"], self.store.failed)
        yield reports
