"""An upstream that records its executions and misbehaves on demand."""

import random
import socket
import time

import gevent
from gevent.server import StreamServer

from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import ID, Request
from tests.soak import const
from tests.soak.shard_records import shard_records
from tests.soak.soak_execution import SoakExecution

HEALTH = "GET /health "
RECV_BYTES = 65_536
MISBEHAVIORS = (
    "fails",
    "rejects",
    "hangs",
    "slow",
    "wrong-id",
    "trailing",
    "cut-short",
    "forgets",
    "lies",
)
# Misbehaviors under which the upstream's answer is still valid; empty means none.
VALID_ANSWER_MISBEHAVIORS = ("", "slow", "trailing", "forgets")


class SoakUpstream:
    """Serves one service; `misbehavior` is empty or one of `MISBEHAVIORS`.

    With `forgets` it closes connections between requests; with `lies` it fails its requests
    while its health check passes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        port: int,
        rng: random.Random,
        executions: list[SoakExecution],
    ) -> None:
        self.name = name
        self.service = service
        self.rng = rng
        self.executions = executions
        self.misbehavior = ""
        self.arrivals: list[tuple[float, str]] = []
        self.server = StreamServer(("127.0.0.1", port), self.serve)
        self.server.start()

    def serve(self, sock: socket.socket, _address: object) -> None:
        """Serve one connection."""
        data = b""
        with sock:
            while True:
                while b"\r\n\r\n" not in data:
                    try:
                        received = sock.recv(RECV_BYTES)
                    except OSError:
                        return
                    if not received:
                        return
                    data += received
                request = Request(data, 0, sock)
                data = b""
                answer = self._answer(request)
                try:
                    sock.sendall(answer)
                except OSError:
                    return
                if not answer or self.misbehavior in ("forgets", "cut-short", "trailing"):
                    return

    def _answer(self, request: Request) -> bytes:
        misbehavior = self.misbehavior
        if request.line.startswith(HEALTH):
            return request.answer(b"ok", "200 OK" if misbehavior in ("", "lies") else "503 Ill")
        self.arrivals.append((time.monotonic(), request.headers.get(ID, "")))
        expected = request.headers.get(HEADERS.expect_upstream, self.name)
        if expected != self.name:
            return request.answer(b"", "421 Misdirected Request", **{HEADERS.not_run: "1"})
        if misbehavior == "rejects":
            return request.not_run()
        return self._execute(request, misbehavior)

    def _execute(self, request: Request, misbehavior: str) -> bytes:
        signature = f"{self.name}.{len(self.executions)}"
        request_id = request.headers.get(ID, "")
        valid = misbehavior in VALID_ANSWER_MISBEHAVIORS
        now = time.monotonic()
        self.executions.append(
            SoakExecution(request_id, request.line, self.service, self.name, now, signature, valid)
        )
        gevent.sleep(self.rng.uniform(*const.WORK_RANGE_S) * (20 if misbehavior == "slow" else 1))
        if misbehavior == "hangs":
            gevent.sleep(const.HANG_DURATION_S)
            return b""
        body = shard_records(self.service, request.line.split()[1])
        answer = request.answer(
            body, "500 Broken" if misbehavior in ("fails", "lies") else "200 OK"
        ).replace(f"stamp-{expected_of(request)}".encode(), signature.encode())
        if misbehavior == "wrong-id":
            return answer.replace(request_id.encode(), b"somebody-else")
        if misbehavior == "trailing":
            return answer + answer
        return answer[: -len(body) // 2] if misbehavior == "cut-short" else answer


def expected_of(request: Request) -> str | None:
    """Return the upstream that a request is addressed to."""
    return request.headers.get(HEADERS.expect_upstream)
