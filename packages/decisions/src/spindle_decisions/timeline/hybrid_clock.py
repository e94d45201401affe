"""A hybrid logical clock."""

from collections.abc import Callable

from spindle_decisions.timeline.hlc_stamp import HlcStamp


class HybridClock:
    """Stamps that grow along every chain of messages, close to wall time.

    `tick` stamps a local event or a message to send; `observe` takes in the
    stamp of a received message, so that whatever follows it is stamped later,
    also when the wall clocks of two instances are minutes apart.
    """

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        self.wall_ms = wall_ms
        self.last = HlcStamp(0, 0)

    def tick(self) -> HlcStamp:
        """Return a stamp later than all earlier ones."""
        wall = self.wall_ms()
        if wall > self.last.wall_ms:
            self.last = HlcStamp(wall, 0)
        else:
            self.last = HlcStamp(self.last.wall_ms, self.last.counter + 1)
        return self.last

    def observe(self, stamp: HlcStamp) -> None:
        """Take in the stamp of a received message."""
        self.last = max(self.last, stamp)
