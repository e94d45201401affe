"""The connections of this instance to one upstream."""

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.attempt_error import AttemptError
from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.routed_connection import RoutedConnection, open_connection
from spindle_daemon.core.clock import Clock

_KEEP_ALIVE = "keep-alive"
_TIMEOUT_WORD = "timeout="


class RoutedConnectionPool:
    """Keeps idle connections, newest first, and at most `share` of them in all."""

    def __init__(self, clock: Clock, host: str, port: int) -> None:
        self.clock = clock
        self.host = host
        self.port = port
        self.share = 1
        self.open = 0
        self.opened = 0
        self.closed = False
        self.idle: list[RoutedConnection] = []

    def exchange(self, method: str, request: bytes, fresh_s: float) -> RawReply:
        """Send one request; a kill of the greenlet closes the connection."""
        link = self._take(fresh_s)
        try:
            reply = link.exchange(method, request)
        except BaseException:
            self._drop(link)
            raise
        if not reply.keep or self.closed or self.open > self.share:
            self._drop(link)
        else:
            self._put_back(link, reply)
        return reply

    def set_share(self, share: int) -> None:
        """Take a new share; idle connections over it are closed."""
        self.share = share
        while self.idle and self.open > share:
            self._drop(self.idle.pop(0))

    def close(self) -> None:
        """Close idle connections now and the others as they come back."""
        self.closed = True
        while self.idle:
            self._drop(self.idle.pop())

    def _take(self, fresh_s: float) -> RoutedConnection:
        now = self.clock.now()
        while self.idle:
            link = self.idle.pop()
            if link.usable(now, fresh_s):
                return link
            self._drop(link)
        if self.open >= self.share:
            raise AttemptError("no connection to spare", unsent=True, busy=True)
        self.open += 1
        self.opened += 1
        try:
            return open_connection(self.host, self.port)
        except BaseException:
            self.open -= 1
            raise

    def _put_back(self, link: RoutedConnection, reply: RawReply) -> None:
        link.idle_since = self.clock.now()
        link.idle_until = link.idle_since + _idle_s(reply)
        self.idle.append(link)

    def _drop(self, link: RoutedConnection) -> None:
        self.open -= 1
        link.close()


def _idle_s(reply: RawReply) -> float:
    for word in reply.values.get(_KEEP_ALIVE, "").split(","):
        text = word.strip().removeprefix(_TIMEOUT_WORD)
        if text.isdecimal():
            return max(0.0, int(text) - const.KEEP_ALIVE_MARGIN_S)
    return const.KEEP_ALIVE_MAX_S
