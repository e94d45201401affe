"""Metrics that every process has, independent of its role."""

from typing import TYPE_CHECKING

import gevent

from spindle_daemon.components.process_metrics.event_loop_monitor import EventLoopMonitor
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.lazy_metrics import register_lazily

if TYPE_CHECKING:
    from spindle_daemon.components.process_metrics.collector import ProcessCollector


def setup(spindle: Spindle) -> None:
    """Register the metrics and start the monitor of the event loop."""
    monitor = EventLoopMonitor(spindle.clock)
    register_lazily(lambda: _collector(spindle, monitor))
    gevent.spawn(monitor.run_forever)


def _collector(spindle: Spindle, monitor: EventLoopMonitor) -> "ProcessCollector":
    from spindle_daemon.components.process_metrics.collector import ProcessCollector

    return ProcessCollector(spindle, monitor)
