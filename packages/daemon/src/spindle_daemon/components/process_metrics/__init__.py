"""Metrics that every process has, whatever its role."""

from typing import TYPE_CHECKING

import gevent

from spindle_daemon.components.process_metrics.loop_watch import LoopWatch
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.lazy_metrics import register_lazily

if TYPE_CHECKING:
    from spindle_daemon.components.process_metrics.collector import ProcessCollector


def setup(spindle: Spindle) -> None:
    """Register the metrics and watch the loop."""
    watch = LoopWatch(spindle.clock)
    register_lazily(lambda: _collector(spindle, watch))
    gevent.spawn(watch.run_forever)


def _collector(spindle: Spindle, watch: LoopWatch) -> "ProcessCollector":
    from spindle_daemon.components.process_metrics.collector import ProcessCollector

    return ProcessCollector(spindle, watch)
