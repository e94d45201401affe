"""Signed operator requests from tests and experiments."""

import time
from typing import Any

import msgspec
from geventhttpclient import HTTPClient

from bench.ports import LOOPBACK
from spindle_decisions.wire.headers import HEADER_SIGNATURE, HEADER_SIGNED_AT
from spindle_decisions.wire.request_signature import sign_request

MS_PER_S = 1000


class OperatorAnswer(msgspec.Struct, frozen=True):
    """Status and decoded body of an answer."""

    status: int
    body: Any


class OperatorClient:
    """Asks the admin endpoint of one process."""

    def __init__(self, port: int, key: bytes, timeout_s: float = 10.0) -> None:
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
        """Send a signed request; raises `OSError` when the process cannot be reached."""
        signed_at = int(time.time() * MS_PER_S)
        headers = {
            HEADER_SIGNED_AT: str(signed_at),
            HEADER_SIGNATURE: sign_request(self.key, method, path, signed_at, body),
        }
        client = HTTPClient(
            LOOPBACK,
            self.port,
            connection_timeout=self.timeout_s,
            network_timeout=self.timeout_s,
        )
        try:
            response = client.request(method, path, body=body, headers=headers)
            data = bytes(response.read())
            return OperatorAnswer(response.status_code, msgspec.json.decode(data))
        finally:
            client.close()
