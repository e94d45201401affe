"""Signed requests to one admin endpoint."""

import time
from typing import Any

import gevent
from geventhttpclient import HTTPClient

from spindle_cli import const
from spindle_cli.address import Address
from spindle_cli.http_reply import HttpReply
from spindle_decisions.exceptions import AnswerLostError, UnreachableError
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.headers import HEADER_SIGNATURE, HEADER_SIGNED_AT
from spindle_decisions.wire.request_signature import sign_request


class SignedClient:
    """Sends signed requests, each over its own connection."""

    def __init__(self, key: bytes) -> None:
        self.key = key

    def request(
        self, address: Address, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpReply:
        """Send one request and return the whole answer within `timeout_s`.

        Raises `UnreachableError` when no connection was established, so that the
        request was not received, and `AnswerLostError` when it may have been received.
        """
        connected = [False]
        client = self._open(address, timeout_s, connected)
        try:
            with gevent.Timeout(
                timeout_s, AnswerLostError(f"{address}: no answer within {timeout_s:.1f} s")
            ):
                return self._exchange(client, method, path, body)
        except AnswerLostError as err:
            if connected[0]:
                raise
            raise UnreachableError(f"{address}: no connection within {timeout_s:.1f} s") from err
        except Exception as err:
            if connected[0]:
                raise AnswerLostError(f"{address}: answer lost: {err}") from err
            raise UnreachableError(f"{address}: {err}") from err
        finally:
            client.close()

    def _open(self, address: Address, timeout_s: float, connected: list[bool]) -> Any:
        client = HTTPClient(
            address.host,
            address.port,
            connection_timeout=min(const.CONNECT_TIMEOUT_S, timeout_s),
            network_timeout=timeout_s,
        )

        def on_connect(_socket: Any) -> None:
            connected[0] = True

        client._connection_pool.after_connect = on_connect
        return client

    def _exchange(self, client: Any, method: str, path: str, body: bytes) -> HttpReply:
        signed_at = int(time.time() * MS_PER_S)
        headers = {
            HEADER_SIGNED_AT: str(signed_at),
            HEADER_SIGNATURE: sign_request(self.key, method, path, signed_at, body),
            "Connection": "close",
        }
        response = client.request(method, path, body=body, headers=headers)
        data = bytes(response.read(const.MAX_REPLY_BYTES + 1))
        if len(data) > const.MAX_REPLY_BYTES:
            raise AnswerLostError(f"answer is larger than {const.MAX_REPLY_BYTES} bytes")
        return HttpReply(int(response.status_code), data)
