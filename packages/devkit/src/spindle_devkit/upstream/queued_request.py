"""One request that waits for a slot or runs."""

from gevent.event import Event

from spindle_devkit.upstream.execution import Execution


class QueuedRequest:
    """A request in a stand-in upstream.

    `changed` is set when a slot was granted or the caller closed the
    connection; whoever waits on it looks at `granted` and `cancelled`.
    """

    def __init__(self, execution: Execution) -> None:
        self.execution = execution
        self.changed = Event()
        self.granted = False
        self.cancelled = False

    def grant(self) -> None:
        """Give the slot to this request."""
        self.granted = True
        self.changed.set()

    def cancel(self) -> None:
        """Note that the caller closed the connection."""
        self.cancelled = True
        self.changed.set()
