"""Metrics of the account of an entry instance."""

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from spindle_daemon.components.account import const
from spindle_decisions.account.summary_outbox import SummaryOutbox


class EntryCollector(Collector):
    """Reads the figures of the outbox at each scrape."""

    def __init__(self, outbox: SummaryOutbox) -> None:
        self.outbox = outbox

    def collect(self) -> Iterable[Metric]:
        """Return the current values."""
        outbox = self.outbox
        yield GaugeMetricFamily(
            const.METRIC_PENDING, "Minutes that are on no disk yet.", value=len(outbox.minutes)
        )
        yield GaugeMetricFamily(
            const.METRIC_PENDING_BYTES, "Bytes of these minutes.", value=outbox.pending_bytes
        )
        yield CounterMetricFamily(
            const.METRIC_GIVEN_UP, "Minutes given up for want of room.", value=outbox.given_up
        )
        yield CounterMetricFamily(
            const.METRIC_MOVES, "Moves to another control instance.", value=outbox.moves
        )
