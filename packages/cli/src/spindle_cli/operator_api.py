"""Typed requests to the admin endpoints of a deployment."""

from typing import TypeVar

import msgspec
from gevent.pool import Pool

from spindle_cli import const
from spindle_cli.address import Address
from spindle_cli.http_client import SignedClient
from spindle_cli.http_reply import HttpReply
from spindle_cli.models.error_reply import ErrorReply
from spindle_cli.process_result import ProcessResult
from spindle_decisions.exceptions import (
    AnswerLostError,
    NoQuorumError,
    NotLeaderError,
    NotRunError,
    RemoteError,
    SettingsError,
    SpindleError,
    UnreachableError,
)

ReplyT = TypeVar("ReplyT")

HTTP_OK = 200
RETRYABLE_CODES = frozenset({NoQuorumError.code, NotLeaderError.code, NotRunError.code})


class OperatorApi:
    """Sends requests to one process, to control instances in turn or to many processes."""

    def __init__(self, client: SignedClient, controls: tuple[Address, ...]) -> None:
        self.client = client
        self.controls = controls

    def request_one(
        self,
        address: Address,
        method: str,
        path: str,
        reply_type: type[ReplyT],
        body: bytes = b"",
        timeout_s: float = const.REQUEST_TIMEOUT_S,
    ) -> ReplyT:
        """Send a request to one process.

        Raises `RemoteError` for an error answer, `UnreachableError` when there was no
        connection, and `AnswerLostError` for an answer that is lost or cannot be decoded.
        """
        reply = self.client.request(address, method, path, body, timeout_s)
        if reply.status != HTTP_OK:
            raise _remote_error(reply)
        try:
            return msgspec.json.decode(reply.body, type=reply_type)
        except msgspec.MsgspecError as err:
            raise AnswerLostError(f"{address}: answer cannot be decoded: {err}") from err

    def request_any(
        self, method: str, path: str, reply_type: type[ReplyT], body: bytes = b""
    ) -> ReplyT:
        """Send a request to the control instances in turn until one answers.

        Only for read-only requests: a request without an answer is sent again to the
        next control instance.
        """
        errors: list[SpindleError] = []
        for address in self.required_controls():
            try:
                return self.request_one(address, method, path, reply_type, body)
            except RemoteError as err:
                if err.code not in RETRYABLE_CODES:
                    raise
                errors.append(err)
            except (UnreachableError, AnswerLostError) as err:
                errors.append(err)
        raise UnreachableError("; ".join(str(err) for err in errors))

    def request_all(
        self, addresses: tuple[Address, ...], path: str, reply_type: type[ReplyT]
    ) -> list[ProcessResult[ReplyT]]:
        """Send the same GET request to many processes; return a value or error for each."""
        return self.request_each([(address, path) for address in addresses], reply_type)

    def request_each(
        self, requests: list[tuple[Address, str]], reply_type: type[ReplyT]
    ) -> list[ProcessResult[ReplyT]]:
        """Send GET requests in parallel; return the results in the order of the requests."""

        def send_request(request: tuple[Address, str]) -> ProcessResult[ReplyT]:
            address, path = request
            try:
                return ProcessResult(address, self.request_one(address, "GET", path, reply_type))
            except SpindleError as err:
                return ProcessResult(address, error=err)

        pool = Pool(const.MAX_PARALLEL_REQUESTS)
        return list(pool.imap(send_request, requests))

    def required_controls(self) -> tuple[Address, ...]:
        """Return the control instances; raise `SettingsError` when none is given."""
        if not self.controls:
            raise SettingsError(
                f"no control instance given; use --control IP:PORT, {const.ENV_CONTROLS}, "
                f"or {const.CONF_CONTROLS} in the file of --config"
            )
        return self.controls


def _remote_error(reply: HttpReply) -> RemoteError:
    try:
        error = msgspec.json.decode(reply.body, type=ErrorReply)
    except msgspec.MsgspecError:
        return RemoteError(ErrorReply().code, f"HTTP status {reply.status}", reply.status)
    return RemoteError(error.code, error.text, reply.status, error.winner_digest)
