"""One direction of a link."""

from gevent.event import Event

UNLIMITED = -1


class Direction:
    """The faults and the byte total of one direction, shared by all its connections.

    `passable` is cleared while the direction is cut. `truncations` counts the
    calls of `truncate`, so that pumps detect when to restart their byte count.
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
        """Forward `after` more bytes of each connection, then close it; `UNLIMITED` ends this."""
        self.truncate_after = after
        self.truncations += 1
