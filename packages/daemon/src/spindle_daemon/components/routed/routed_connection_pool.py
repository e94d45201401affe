"""Pool of the connections of this instance to one upstream."""

from collections.abc import Callable

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.attempt_error import AttemptError
from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.receive_budget import ReceiveBudget
from spindle_daemon.components.routed.routed_connection import RoutedConnection, open_connection
from spindle_daemon.core.clock import Clock

_KEEP_ALIVE = "keep-alive"
_TIMEOUT_PREFIX = "timeout="


class RoutedConnectionPool:
    """Reuses idle connections, newest first, and opens at most `max_connections`."""

    def __init__(self, clock: Clock, host: str, port: int, budget: ReceiveBudget) -> None:
        self.clock = clock
        self.budget = budget
        self.host = host
        self.port = port
        self.max_connections = 1
        self.open_count = 0
        self.opened_count = 0
        self.closed = False
        self.idle: list[RoutedConnection] = []

    def exchange(
        self, method: str, request: bytes, max_idle_s: float, is_own: Callable[[RawReply], bool]
    ) -> RawReply:
        """Send a request and return the answer; killing the greenlet closes the connection.

        A connection with an answer for which `is_own` is false is closed: the answer that
        belongs to the request may still arrive on it.
        """
        connection = self._acquire(max_idle_s)
        try:
            reply = connection.exchange(method, request)
        except BaseException:
            self._close(connection)
            raise
        is_kept = reply.keep_alive and is_own(reply) and not self.closed
        if not is_kept or self.open_count > self.max_connections:
            self._close(connection)
        else:
            self._release(connection, reply)
        return reply

    def set_max_connections(self, max_connections: int) -> None:
        """Set the limit of connections; idle connections above it are closed."""
        self.max_connections = max_connections
        while self.idle and self.open_count > max_connections:
            self._close(self.idle.pop(0))

    def close(self) -> None:
        """Close idle connections now, and the others when their request ends."""
        self.closed = True
        while self.idle:
            self._close(self.idle.pop())

    def _acquire(self, max_idle_s: float) -> RoutedConnection:
        now = self.clock.now()
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable(now, max_idle_s):
                return connection
            self._close(connection)
        if self.open_count >= self.max_connections:
            raise AttemptError("no connection to spare", not_sent=True, busy=True)
        self.open_count += 1
        self.opened_count += 1
        try:
            return open_connection(self.host, self.port, self.budget)
        except BaseException:
            self.open_count -= 1
            raise

    def _release(self, connection: RoutedConnection, reply: RawReply) -> None:
        connection.idle_since = self.clock.now()
        connection.idle_until = connection.idle_since + _idle_s(reply)
        self.idle.append(connection)

    def _close(self, connection: RoutedConnection) -> None:
        self.open_count -= 1
        connection.close()


def _idle_s(reply: RawReply) -> float:
    for parameter in reply.header_values.get(_KEEP_ALIVE, "").split(","):
        text = parameter.strip().removeprefix(_TIMEOUT_PREFIX)
        if text.isdecimal():
            return max(0.0, int(text) - const.KEEP_ALIVE_MARGIN_S)
    return const.KEEP_ALIVE_MAX_S
