"""An HTTP exchange with a process on loopback."""

import dataclasses
import time

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from bench.ports import LOOPBACK
from spindle_decisions.wire.headers import HEADER_CODE

DEFAULT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Exchange:
    """A response and the time it took; `code` is empty unless the request was refused."""

    status: int
    code: str
    data: bytes
    took_s: float


def exchange(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Exchange:
    """Send a request on a new connection; raise `OSError` if no complete response arrives."""
    client = HTTPClient(LOOPBACK, port, connection_timeout=timeout_s, network_timeout=timeout_s)
    started = time.monotonic()
    try:
        response = client.request(method, path, body=body, headers=headers or {})
        data = bytes(response.read())
    except HTTPParseError as err:
        raise ConnectionError(f"no complete response from port {port}: {err}") from err
    finally:
        client.close()
    took_s = time.monotonic() - started
    return Exchange(response.status_code, response.get(HEADER_CODE) or "", data, took_s)
