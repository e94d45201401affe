"""The metrics that every process has."""

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from spindle_daemon.components.process_metrics import const
from spindle_daemon.components.process_metrics.event_loop_monitor import EventLoopMonitor
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.mesh.transport import MeshTransport


class ProcessCollector(Collector):
    """Reads mesh counters, event loop monitor and catalog version on each scrape."""

    def __init__(self, spindle: Spindle, monitor: EventLoopMonitor) -> None:
        self.spindle = spindle
        self.monitor = monitor

    def collect(self) -> Iterable[Metric]:
        """Return the current values; resets the longest stall."""
        transport = self.spindle.transport
        yield _by_direction(
            const.METRIC_FRAMES, "Frames.", transport.frames_in, transport.frames_out
        )
        yield _by_direction(const.METRIC_BYTES, "Bytes.", transport.bytes_in, transport.bytes_out)
        yield _bad_frames(transport)
        yield _counter(const.METRIC_DROPPED, "Frames not sent.", transport.frames_dropped)
        yield _counter(
            const.METRIC_RECONNECTS,
            "Connections replaced as frames on them were not acknowledged.",
            transport.reconnects,
        )
        yield _gauge(
            const.METRIC_STALL,
            "Longest loop stall since the last scrape.",
            self.monitor.take_longest_stall_s(),
        )
        if hasattr(self.spindle, "catalog"):
            catalog = self.spindle.catalog
            version = catalog.index.catalog.version
            yield _gauge(const.METRIC_CONFIG_VERSION, "Version in force.", version)
            yield _gauge(
                const.METRIC_CONFIG_AGE, "Seconds since it was confirmed.", catalog.age_s()
            )


def _counter(name: str, text: str, value: float) -> CounterMetricFamily:
    return CounterMetricFamily(name, text, value=value)


def _gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(name, text, value=value)


def _by_direction(name: str, text: str, received: int, sent: int) -> CounterMetricFamily:
    family = CounterMetricFamily(name, text, labels=[const.LABEL_DIRECTION])
    family.add_metric(["in"], received)
    family.add_metric(["out"], sent)
    return family


def _bad_frames(transport: MeshTransport) -> CounterMetricFamily:
    family = CounterMetricFamily(
        const.METRIC_BAD_FRAMES, "Frames that were not accepted.", labels=[const.LABEL_CAUSE]
    )
    family.add_metric(["malformed"], transport.frames_malformed)
    family.add_metric(["unsigned"], transport.frames_unsigned)
    return family
