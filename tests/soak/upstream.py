"""An upstream that records what it runs and misbehaves on demand."""

import random
import socket
import time

import gevent
from gevent.server import StreamServer

from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import ID, Request
from tests.soak import const
from tests.soak.run import Run
from tests.soak.shard_records import shard_records

HEALTH = "GET /health "
RECV_BYTES = 65_536
MOODS = (
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
# Moods in which what the upstream answers is good.
USABLE = ("", "slow", "trailing", "forgets")


class SoakUpstream:
    """Serves one service; `mood` is empty or the name of a misbehaviour.

    One that `forgets` drops connections between requests; one that `lies` fails its
    requests and is healthy by its check.
    """

    def __init__(
        self, name: str, service: str, port: int, rng: random.Random, runs: list[Run]
    ) -> None:
        self.name = name
        self.service = service
        self.rng = rng
        self.runs = runs
        self.mood = ""
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
                if not answer or self.mood in ("forgets", "cut-short", "trailing"):
                    return

    def _answer(self, request: Request) -> bytes:
        mood = self.mood
        if request.line.startswith(HEALTH):
            return request.answer(b"ok", "200 OK" if mood in ("", "lies") else "503 Ill")
        self.arrivals.append((time.monotonic(), request.headers.get(ID, "")))
        expected = request.headers.get(HEADERS.expect_upstream, self.name)
        if expected != self.name:
            return request.answer(b"", "421 Misdirected Request", **{HEADERS.not_run: "1"})
        if mood == "rejects":
            return request.not_run()
        return self._run(request, mood)

    def _run(self, request: Request, mood: str) -> bytes:
        stamp = f"{self.name}.{len(self.runs)}"
        request_id = request.headers.get(ID, "")
        good = mood in USABLE
        now = time.monotonic()
        self.runs.append(Run(request_id, request.line, self.service, self.name, now, stamp, good))
        gevent.sleep(self.rng.uniform(*const.WORK_S) * (20 if mood == "slow" else 1))
        if mood == "hangs":
            gevent.sleep(const.HANG_S)
            return b""
        body = shard_records(self.service, request.line.split()[1])
        answer = request.answer(
            body, "500 Broken" if mood in ("fails", "lies") else "200 OK"
        ).replace(f"stamp-{expected_of(request)}".encode(), stamp.encode())
        if mood == "wrong-id":
            return answer.replace(request_id.encode(), b"somebody-else")
        if mood == "trailing":
            return answer + answer
        return answer[: -len(body) // 2] if mood == "cut-short" else answer


def expected_of(request: Request) -> str | None:
    """Return the upstream that a request names."""
    return request.headers.get(HEADERS.expect_upstream)
