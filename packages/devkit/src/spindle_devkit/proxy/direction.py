"""One direction of a link."""

from gevent.event import Event

UNLIMITED = -1


class Direction:
    """The faults and the totals of one direction, shared by all its connections.

    `passable` is cleared while the direction is cut. `truncations` counts the
    times that a truncation was set, so that pumps know when to count anew.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.passable = Event()
        self.passable.set()
        self.truncate_after = UNLIMITED
        self.truncations = 0
        self.total_bytes = 0

    def cut(self, is_cut: bool) -> None:
        """Cut the direction or end the cut."""
        if is_cut:
            self.passable.clear()
        else:
            self.passable.set()

    def truncate(self, after: int) -> None:
        """Let `after` more bytes of each connection pass; `UNLIMITED` ends this."""
        self.truncate_after = after
        self.truncations += 1
