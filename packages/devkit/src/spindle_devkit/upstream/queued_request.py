"""A request that waits for a slot or holds one."""

from gevent.event import Event

from spindle_devkit.upstream.execution import Execution


class QueuedRequest:
    """A request that waits for a slot of a stand-in upstream or holds one.

    `changed` is set when a slot was granted or the caller closed the connection;
    `granted` and `cancelled` show which of them happened.
    """

    def __init__(self, execution: Execution) -> None:
        self.execution = execution
        self.changed = Event()
        self.granted = False
        self.cancelled = False

    def grant(self) -> None:
        """Grant a slot to this request."""
        self.granted = True
        self.changed.set()

    def cancel(self) -> None:
        """Record that the caller closed the connection."""
        self.cancelled = True
        self.changed.set()
