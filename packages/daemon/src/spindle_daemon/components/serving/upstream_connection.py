"""One HTTP connection to an upstream."""

from collections.abc import Mapping

from geventhttpclient import HTTPClient

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.connection_pool import SingleSocketPool
from spindle_daemon.components.serving.flat_headers import FlatHeaders
from spindle_daemon.components.serving.upstream_reply import UpstreamReply
from spindle_decisions.wire.headers import (
    HEADER_DRAINING,
    HEADER_LOAD,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
    HEADER_SNAPSHOT,
)

METHOD_POST = "POST"
METHOD_GET = "GET"
SWITCH_ON = "1"
REQUEST_ID = HEADER_REQUEST_ID.lower()
SNAPSHOT = HEADER_SNAPSHOT.lower()
LOAD = HEADER_LOAD.lower()
DRAINING = HEADER_DRAINING.lower()
NOT_RUN = HEADER_NOT_RUN.lower()
BLOCK_BYTES = 16 * 1024


class UpstreamConnection(HTTPClient):
    """A connection that carries one request at a time.

    The library never sends a POST twice. After any exception, a cancellation
    included, the connection must be closed and not be used again.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, block_size=BLOCK_BYTES, headers_type=FlatHeaders)
        self.pool = SingleSocketPool(
            host,
            port,
            host,
            port,
            size=1,
            connection_timeout=const.CONNECT_TIMEOUT_S,
            network_timeout=None,
        )
        self._connection_pool = self.pool

    @property
    def may_have_sent(self) -> bool:
        """Tell whether bytes of the last request may have left."""
        return self.pool.acquired

    def exchange(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> UpstreamReply:
        """Send a request and read the whole answer; raise when either is cut short."""
        response = self.request(method, path, body, headers)
        content = response.read()
        if not response.message_complete:
            raise ConnectionError("answer ends early")
        headers_in = response.info()
        return UpstreamReply(
            status=response.status_code,
            body=content,
            request_id=headers_in.get(REQUEST_ID, ""),
            snapshot=headers_in.get(SNAPSHOT, ""),
            load=headers_in.get(LOAD, ""),
            draining=headers_in.get(DRAINING) == SWITCH_ON,
            not_run=headers_in.get(NOT_RUN) == SWITCH_ON,
        )
