"""Signed operator requests from tests and experiments."""

import time
from typing import Any

import msgspec

from bench.http_exchange import DEFAULT_TIMEOUT_S, exchange
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.headers import HEADER_SIGNATURE, HEADER_SIGNED_AT
from spindle_decisions.wire.request_signature import sign_request


class OperatorAnswer(msgspec.Struct, frozen=True):
    """The status and the decoded body of a response."""

    status: int
    body: Any


class OperatorClient:
    """Sends signed requests to the admin endpoint of one process."""

    def __init__(self, port: int, key: bytes, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self.port = port
        self.key = key
        self.timeout_s = timeout_s

    def get(self, path: str) -> OperatorAnswer:
        """Send a signed GET."""
        return self.request("GET", path, b"")

    def post(self, path: str, body: bytes) -> OperatorAnswer:
        """Send a signed POST."""
        return self.request("POST", path, body)

    def request(self, method: str, path: str, body: bytes) -> OperatorAnswer:
        """Send a signed request; raises `OSError` if the process cannot be reached."""
        signed_at = int(time.time() * MS_PER_S)
        headers = {
            HEADER_SIGNED_AT: str(signed_at),
            HEADER_SIGNATURE: sign_request(self.key, method, path, signed_at, body),
        }
        done = exchange(self.port, method, path, body, headers, self.timeout_s)
        return OperatorAnswer(done.status, msgspec.json.decode(done.data))
