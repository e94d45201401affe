"""Faults of clocks, disks and the links between instances."""

import msgspec

from tests.soak import const
from tests.soak.process_watch import ProcessWatch
from tests.soak.span import Kind, Span
from tests.soak.stage import Stage
from tests.soak.warp import Warp

CLOCK_STEPS_MS = (-7_200_000, -20_000, 20_000, 86_400_000)
DISK_WAIT_S = 0.05


class WarpFaults:
    """Tells processes what is to misbehave in them."""

    def __init__(self, stage: Stage, watch: ProcessWatch) -> None:
        self.stage = stage
        self.watch = watch
        self.warps: dict[str, Warp] = {}

    def kinds(self) -> dict[str, Kind]:
        """Return the faults by kind."""
        return {
            "clock-step": (self.stage.names, self.clock_step),
            "disk-full": (const.CONTROLS, self.disk_full),
            "disk-slow": (const.CONTROLS, self.disk_slow),
            "one-way-cut": (self.stage.names, self.one_way_cut),
            "isolate": (self.stage.names, self.isolate),
        }

    def clock_step(self, name: str) -> Span:
        """Step the wall clock of a process, and back."""
        step = self.stage.rng.choice(CLOCK_STEPS_MS)
        yield from self._warped(name, wall_offset_ms=step)

    def disk_full(self, name: str) -> Span:
        """Refuse writes."""
        self.watch.bad_disks[name] = 0
        yield from self._warped(name, disk_full=True)
        self.watch.look(name)
        self.watch.bad_disks.pop(name, None)

    def disk_slow(self, name: str) -> Span:
        """Let each write and sync wait."""
        yield from self._warped(name, disk_wait_s=DISK_WAIT_S)

    def one_way_cut(self, name: str) -> Span:
        """Let nothing from a process reach one other."""
        others = [item for item in self.stage.names if item != name]
        muted = self._address(self.stage.rng.choice(others))
        yield from self._warped(name, mute=(muted,))

    def isolate(self, name: str) -> Span:
        """Cut a process off from all others, both ways."""
        others = [item for item in self.stage.names if item != name]
        for other in others:
            self._warp(other, mute=(self._address(name),))
        yield from self._warped(name, mute=tuple(map(self._address, others)))
        for other in others:
            self._warp(other, mute=())

    def _address(self, name: str) -> str:
        return f"//{self.stage.fleet.ip(name)}:"

    def _warp(self, name: str, **changes: object) -> None:
        self.warps[name] = msgspec.structs.replace(self.warps.get(name, Warp()), **changes)
        self.stage.warp(name, self.warps[name])

    def _warped(self, name: str, **changes: object) -> Span:
        self._warp(name, **changes)
        yield
        self._warp(name, **{field: getattr(Warp(), field) for field in changes})
