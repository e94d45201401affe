"""The state of one stand-in upstream."""

import random
import time
from collections import deque
from typing import Any

from spindle_devkit.sockets import reset
from spindle_devkit.upstream import const
from spindle_devkit.upstream.behavior import Behavior
from spindle_devkit.upstream.counters import Counters
from spindle_devkit.upstream.execution import Execution
from spindle_devkit.upstream.load_reporter import LoadReporter
from spindle_devkit.upstream.response_swapper import ResponseSwapper
from spindle_devkit.upstream.service_times import ServiceTimes
from spindle_devkit.upstream.slot_queue import SlotQueue
from spindle_devkit.upstream.upstream_settings import UpstreamSettings


class StandinUpstream:
    """The settings, the behaviour, the counters and the open sockets of a stand-in upstream."""

    def __init__(self, settings: UpstreamSettings, behavior: Behavior) -> None:
        self.settings = settings
        self.behavior = behavior
        self.counters = Counters()
        self.slots = SlotQueue(settings.slots, settings.queue)
        self.load = LoadReporter(settings.slots)
        self.response_swapper = ResponseSwapper()
        self.executions: deque[Execution] = deque(maxlen=const.MAX_EXECUTIONS)
        self.sockets: set[Any] = set()
        self.times = ServiceTimes(
            random.Random(settings.seed),
            settings.sigma,
            settings.cold_start_s,
            settings.cold_factor,
        )
        self.shed_rng = random.Random(settings.seed + 1)

    def record_load(self) -> None:
        """Record the number of requests in flight for load reports."""
        self.load.record_inflight(time.monotonic(), self.slots.inflight)

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for sock in tuple(self.sockets):
            reset(sock)


def create_standin_upstream(settings: UpstreamSettings) -> StandinUpstream:
    """Return a stand-in upstream with the behaviour of its settings."""
    behavior = Behavior(
        snapshots=frozenset(settings.snapshots),
        median_ms=settings.median_ms,
        straggler_ratio=settings.straggler_ratio,
        straggler_factor=settings.straggler_factor,
        cold_until=time.monotonic() + settings.cold_start_s,
    )
    return StandinUpstream(settings, behavior)
