"""One HTTP connection to an upstream."""

from collections.abc import Mapping

from geventhttpclient import HTTPClient

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.header_dict import HeaderDict
from spindle_daemon.components.serving.single_socket_pool import SingleSocketPool
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
FLAG_SET = "1"
# `HeaderDict` has the names of answer headers in lower case.
REQUEST_ID = HEADER_REQUEST_ID.lower()
SNAPSHOT = HEADER_SNAPSHOT.lower()
LOAD = HEADER_LOAD.lower()
DRAINING = HEADER_DRAINING.lower()
NOT_RUN = HEADER_NOT_RUN.lower()
READ_BLOCK_BYTES = 16 * 1024


class UpstreamConnection(HTTPClient):
    """A connection that carries one request at a time.

    The HTTP client never retries a POST. After any exception, including a
    cancellation, the connection must be closed and not be used again.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, block_size=READ_BLOCK_BYTES, headers_type=HeaderDict)
        self.socket_pool = SingleSocketPool(
            host,
            port,
            host,
            port,
            size=1,
            connection_timeout=const.CONNECT_TIMEOUT_S,
            network_timeout=None,
        )
        self._connection_pool = self.socket_pool

    @property
    def may_have_sent(self) -> bool:
        """Return whether bytes of the last request may have been sent."""
        return self.socket_pool.acquired

    def exchange(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> UpstreamReply:
        """Send a request and read the answer; raise if either is incomplete."""
        response = self.request(method, path, body, headers)
        content = response.read()
        if not response.message_complete:
            raise ConnectionError(f"answer to {method} {path} is incomplete")
        reply_headers = response.info()
        return UpstreamReply(
            status=response.status_code,
            body=content,
            request_id=reply_headers.get(REQUEST_ID, ""),
            snapshot=reply_headers.get(SNAPSHOT, ""),
            load=reply_headers.get(LOAD, ""),
            draining=reply_headers.get(DRAINING) == FLAG_SET,
            not_run=reply_headers.get(NOT_RUN) == FLAG_SET,
        )
