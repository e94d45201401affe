"""Sends non-idempotent requests to an entry instance."""

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from bench.load import const
from bench.load.caller import CODES_NOT_RUN
from bench.load.run_answer import RunAnswer
from spindle_decisions.wire.headers import (
    HEADER_CODE,
    HEADER_DEADLINE_MS,
    HEADER_FIRST_SENDING,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_NOT_RUN,
)
from spindle_devkit.endpoint import Endpoint


class RunCaller:
    """A caller that can resend a request with the same id."""

    def __init__(self, entry: Endpoint, group: str, deadline_ms: int) -> None:
        timeout_s = deadline_ms / const.MS_PER_S + const.CLIENT_GRACE_S
        self.path = f"/v1/groups/{group}/run"
        self.deadline_ms = deadline_ms
        self.client = HTTPClient(
            entry.host,
            entry.port,
            concurrency=const.CONNECTIONS_PER_ENTRY,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )

    def run(
        self, request_id: str, key: str, body: dict[str, str], first: bool = False
    ) -> RunAnswer:
        """Send one request; without a response, status is 0 and the code the error's name.

        With `first`, the request states that its id was never sent before.
        """
        headers = {
            "Content-Type": "application/json",
            HEADER_IDEMPOTENCY_KEY: request_id,
            HEADER_DEADLINE_MS: str(self.deadline_ms),
            HEADER_FIRST_SENDING: "yes" if first else "no",
        }
        sent = msgspec.json.encode({"key": key, "body": body})
        try:
            response = self.client.post(self.path, body=sent, headers=headers)
            data = bytes(response.read())
        except (OSError, HTTPParseError) as err:
            return RunAnswer(0, type(err).__name__, not_run=False, body=b"")
        code = response.get(HEADER_CODE, "")
        not_run = code in CODES_NOT_RUN or response.get(HEADER_NOT_RUN) == "1"
        return RunAnswer(response.status_code, code, not_run, data)
