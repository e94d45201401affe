"""All connections of this instance to one upstream."""

from collections.abc import Mapping

from spindle_daemon.components.serving.exchange_failure import ExchangeFailure
from spindle_daemon.components.serving.upstream_connection import UpstreamConnection
from spindle_daemon.components.serving.upstream_reply import UpstreamReply


class UpstreamConnectionPool:
    """Keeps idle connections for reuse, up to `max_connections` open ones.

    `max_connections` may be reduced while requests are in flight; surplus
    connections are closed when their request ends.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.max_connections = 1
        self.open_count = 0
        self.idle: list[UpstreamConnection] = []

    def exchange(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> UpstreamReply | ExchangeFailure:
        """Send one request on an idle or a new connection.

        If the greenlet is killed during the exchange, the connection is closed, which
        cancels the request at the upstream.
        """
        connection = self.idle.pop() if self.idle else self._create()
        try:
            reply = connection.exchange(method, path, body, headers)
        except Exception as err:
            self._close_connection(connection)
            return ExchangeFailure(connection.may_have_sent, str(err))
        except BaseException:
            self._close_connection(connection)
            raise
        self._release(connection)
        return reply

    def set_max_connections(self, max_connections: int) -> None:
        """Set the connection share and close surplus idle connections."""
        self.max_connections = max_connections
        while self.idle and self.open_count > max_connections:
            self._close_connection(self.idle.pop(0))

    def close(self) -> None:
        """Close idle connections; those in use are closed when their request ends."""
        self.set_max_connections(0)

    def _create(self) -> UpstreamConnection:
        self.open_count += 1
        return UpstreamConnection(self.host, self.port)

    def _release(self, connection: UpstreamConnection) -> None:
        if self.open_count > self.max_connections:
            self._close_connection(connection)
        else:
            self.idle.append(connection)

    def _close_connection(self, connection: UpstreamConnection) -> None:
        self.open_count -= 1
        connection.close()
