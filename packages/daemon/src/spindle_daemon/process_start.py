"""Setup that is common to all roles."""

import random

from spindle_daemon.components import process_metrics, timeline
from spindle_daemon.core.clock import SystemClock
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.hub_errors import log_hub_errors
from spindle_daemon.mesh.transport import MeshTransport
from spindle_daemon.settings.settings import Settings
from spindle_decisions.timeline.hybrid_clock import HybridClock
from spindle_decisions.wire.frame_codec import FrameCodec


def create_spindle(settings: Settings, key: bytes) -> Spindle:
    """Create the instance with its timeline and its transport, which is not started yet."""
    log_hub_errors()
    clock = SystemClock()
    hybrid = HybridClock(clock.wall_ms)
    spindle = Spindle(settings, clock, random.Random(), incarnation=clock.wall_ms())
    spindle.transport = MeshTransport(
        settings.instance.name,
        settings.mesh.listen,
        FrameCodec(key),
        hybrid,
        settings.mesh.advertise,
    )
    timeline.setup(spindle, hybrid)
    process_metrics.setup(spindle)
    return spindle
