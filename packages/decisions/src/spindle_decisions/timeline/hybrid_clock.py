"""A hybrid logical clock."""

from collections.abc import Callable

from spindle_decisions.timeline.hlc_stamp import HlcStamp


class HybridClock:
    """Issues stamps that increase along every chain of messages and stay close to wall time.

    `tick` stamps a local event or an outgoing message. `observe` advances the
    clock to the stamp of a received message, so that every later event gets a
    later stamp, even if the wall clocks of two instances are minutes apart.
    """

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        self.wall_ms = wall_ms
        self.last = HlcStamp(0, 0)

    def tick(self) -> HlcStamp:
        """Return a stamp later than all stamps issued or observed so far."""
        wall_ms = self.wall_ms()
        if wall_ms > self.last.wall_ms:
            self.last = HlcStamp(wall_ms, 0)
        else:
            self.last = HlcStamp(self.last.wall_ms, self.last.counter + 1)
        return self.last

    def observe(self, stamp: HlcStamp) -> None:
        """Advance the clock to the stamp of a received message."""
        self.last = max(self.last, stamp)
