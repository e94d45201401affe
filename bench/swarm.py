"""A process that simulates many entry instances: it runs only their control links."""

import gevent.monkey

gevent.monkey.patch_all()

import pathlib  # noqa: E402
import random  # noqa: E402
from typing import Annotated  # noqa: E402

import gevent  # noqa: E402
import typer  # noqa: E402

from bench.deployment import KEY  # noqa: E402
from spindle_daemon.components import control_link  # noqa: E402
from spindle_daemon.core.clock import SystemClock  # noqa: E402
from spindle_daemon.core.spindle import Spindle  # noqa: E402
from spindle_daemon.mesh.transport import MeshTransport  # noqa: E402
from spindle_daemon.settings.loader import load_settings  # noqa: E402
from spindle_decisions.timeline.event_kind import EventKind  # noqa: E402
from spindle_decisions.timeline.hybrid_clock import HybridClock  # noqa: E402
from spindle_decisions.wire.frame_codec import FrameCodec  # noqa: E402

START_INTERVAL_S = 0.005


class NullTimeline:
    """A timeline that discards all events.

    A real one registers metrics, which is possible only once in a process.
    """

    def add(self, kind: EventKind, reason: str = "", **_fields: object) -> None:
        """Discard the event."""


def main(folder: Annotated[pathlib.Path, typer.Option(help="Folder of settings files.")]) -> None:
    """Run a control link for each settings file in a folder until the process is killed."""
    clock = SystemClock()
    for path in sorted(folder.glob("*.ini")):
        settings = load_settings(path)
        hybrid = HybridClock(clock.wall_ms)
        spindle = Spindle(settings, clock, random.Random(), clock.wall_ms())
        spindle.transport = MeshTransport(
            settings.instance.name, settings.mesh.listen, FrameCodec(KEY), hybrid
        )
        spindle.timeline = NullTimeline()
        control_link.setup(spindle)
        spindle.transport.start()
        gevent.sleep(START_INTERVAL_S)
    gevent.sleep(float("inf"))


if __name__ == "__main__":
    typer.run(main)
