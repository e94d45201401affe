"""One HTTP connection to an upstream."""

from collections.abc import Mapping

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPResponse

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.connection_pool import SingleSocketPool
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
BLOCK_BYTES = 16 * 1024


class UpstreamConnection(HTTPClient):
    """A connection that carries one request at a time.

    The library never sends a POST twice. After any exception, a cancellation
    included, the connection must be closed and not be used again.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, block_size=BLOCK_BYTES)
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
        return UpstreamReply(
            status=response.status_code,
            body=content,
            request_id=_header(response, HEADER_REQUEST_ID),
            snapshot=_header(response, HEADER_SNAPSHOT),
            load=_header(response, HEADER_LOAD),
            draining=HEADER_DRAINING in response and _switched_on(response, HEADER_DRAINING),
            not_run=HEADER_NOT_RUN in response and _switched_on(response, HEADER_NOT_RUN),
        )


def _header(response: HTTPResponse, name: str) -> str:
    value = response.get(name)
    return value if isinstance(value, str) else ""


def _switched_on(response: HTTPResponse, name: str) -> bool:
    return _header(response, name) == SWITCH_ON
