"""All connections of this instance to one upstream."""

from collections.abc import Mapping

from spindle_daemon.components.serving.send_failure import SendFailure
from spindle_daemon.components.serving.upstream_connection import UpstreamConnection
from spindle_daemon.components.serving.upstream_reply import UpstreamReply


class UpstreamChannel:
    """Keeps idle connections and never holds more than its share.

    `share` may shrink while requests are in flight; connections over it are
    closed as they come back.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.share = 1
        self.open = 0
        self.idle: list[UpstreamConnection] = []

    def exchange(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> UpstreamReply | SendFailure:
        """Send one request on an idle or a new connection.

        When the greenlet is killed meanwhile, the connection is closed, which
        cancels the request at the upstream.
        """
        connection = self.idle.pop() if self.idle else self._create()
        try:
            reply = connection.exchange(method, path, body, headers)
        except Exception as err:
            self._drop(connection)
            return SendFailure(connection.may_have_sent, str(err))
        except BaseException:
            self._drop(connection)
            raise
        self._put_back(connection)
        return reply

    def shrink(self, share: int) -> None:
        """Take a new share; close idle connections over it."""
        self.share = share
        while self.idle and self.open > share:
            self._drop(self.idle.pop(0))

    def close(self) -> None:
        """Close idle connections; those in use close when they come back."""
        self.shrink(0)

    def _create(self) -> UpstreamConnection:
        self.open += 1
        return UpstreamConnection(self.host, self.port)

    def _put_back(self, connection: UpstreamConnection) -> None:
        if self.open > self.share:
            self._drop(connection)
        else:
            self.idle.append(connection)

    def _drop(self, connection: UpstreamConnection) -> None:
        self.open -= 1
        connection.close()
