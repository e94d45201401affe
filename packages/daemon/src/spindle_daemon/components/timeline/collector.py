"""Metrics of the timeline."""

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from spindle_daemon.components.timeline.const import METRIC_DROPPED, METRIC_EVENTS
from spindle_decisions.timeline.event_ring_buffer import EventRingBuffer


class TimelineCollector(Collector):
    """Reads the figures of the event ring at each scrape."""

    def __init__(self, ring: EventRingBuffer) -> None:
        self.ring = ring

    def collect(self) -> Iterable[Metric]:
        """Return the current values."""
        held = len(self.ring.request_events) + len(self.ring.other_events)
        yield GaugeMetricFamily(METRIC_EVENTS, "Events held.", value=held)
        yield CounterMetricFamily(METRIC_DROPPED, "Events let go.", value=self.ring.dropped)
