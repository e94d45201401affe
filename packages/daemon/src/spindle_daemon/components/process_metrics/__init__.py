"""Metrics that every process has, whatever its role."""

import gevent
from prometheus_client import REGISTRY

from spindle_daemon.components.process_metrics.collector import ProcessCollector
from spindle_daemon.components.process_metrics.loop_watch import LoopWatch
from spindle_daemon.core.spindle import Spindle


def setup(spindle: Spindle) -> None:
    """Register the metrics and watch the loop."""
    watch = LoopWatch(spindle.clock)
    REGISTRY.register(ProcessCollector(spindle, watch))
    gevent.spawn(watch.run_forever)
