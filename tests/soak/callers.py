"""Callers that offer load over persistent connections."""

import contextlib
import itertools
import random
import time

import gevent
import gevent.socket

from spindle_decisions.util.units import MS_PER_S
from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import ID, Answer, read_answer, request_bytes
from tests.soak import const
from tests.soak.answer_check import ORDER, SEARCH, AnswerCheck
from tests.soak.disturbance_log import DisturbanceLog
from tests.soak.ledger import CheckResults
from tests.soak.outcome import Outcome
from tests.soak.plan_document import HOST, LOOKUP_PREFIX, ORDER_PREFIX, SEARCH_PREFIX
from tests.soak.soak_environment import SoakEnvironment

LOOKUP = "lookup"
KINDS = (
    (LOOKUP, LOOKUP_PREFIX, const.LOOKUPS_PER_S),
    (ORDER, ORDER_PREFIX, const.ORDERS_PER_S),
    (SEARCH, SEARCH_PREFIX, const.SEARCHES_PER_S),
)
CONNECT_TIMEOUT_S = 1.0


class SoakCallers:
    """Runs one caller for each kind of request and entry instance."""

    def __init__(
        self,
        environment: SoakEnvironment,
        results: CheckResults,
        disturbances: DisturbanceLog,
        answer_check: AnswerCheck,
    ) -> None:
        self.environment = environment
        self.results = results
        self.disturbances = disturbances
        self.answer_check = answer_check
        self.numbers = itertools.count(1)
        self.recent: list[Outcome] = []
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start sending requests."""
        for kind, prefix, rate in KINDS:
            for entry in const.ENTRIES:
                rng = random.Random(f"{kind} {entry}")
                rate_per_s = rate / len(const.ENTRIES)
                call = gevent.spawn(self._call_repeatedly, kind, prefix, entry, rate_per_s, rng)
                self.greenlets.append(self.results.monitor(call))

    def stop(self) -> None:
        """Stop sending requests."""
        gevent.killall(self.greenlets)

    def burst(self, entry: str) -> list[gevent.Greenlet]:
        """Send `const.BURST_REQUESTS` requests at once, each on its own connection."""
        kinds = itertools.cycle(KINDS)
        return [
            gevent.spawn(self._send_one, kind, prefix, entry)
            for kind, prefix, _rate in itertools.islice(kinds, const.BURST_REQUESTS)
        ]

    def disconnect_early(self, entry: str) -> None:
        """Send a request and disconnect before the answer arrives."""
        target = f"{SEARCH_PREFIX}{next(self.numbers)}"
        sock = self._connect(entry)
        if sock is None:
            return
        with sock, contextlib.suppress(OSError):
            self._send(sock, SEARCH, target)

    def _call_repeatedly(
        self, kind: str, prefix: str, entry: str, rate_per_s: float, rng: random.Random
    ) -> None:
        sock: gevent.socket.socket | None = None
        while True:
            gevent.sleep(rng.expovariate(rate_per_s))
            sock = sock or self._connect(entry)
            if sock is None:
                continue
            target = f"{prefix}{next(self.numbers)}"
            outcome = self._exchange(sock, kind, target, entry)
            closing = outcome.answer.headers.get("connection", "").lower() == "close"
            if closing or not outcome.answer.complete:
                sock.close()
                sock = None

    def _send_one(self, kind: str, prefix: str, entry: str) -> None:
        sock = self._connect(entry)
        if sock is not None:
            with sock:
                self._exchange(sock, kind, f"{prefix}{next(self.numbers)}", entry)

    def _connect(self, entry: str) -> gevent.socket.socket | None:
        address = (self.environment.fleet.ip(entry), self.environment.fleet.front_port)
        try:
            return gevent.socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            return None

    def _send(self, sock: gevent.socket.socket, kind: str, target: str) -> None:
        request_id = request_id_of(kind, target)
        self.environment.requests_sent.append((time.monotonic(), kind))
        fields = {"Host": HOST, ID: request_id, HEADERS.deadline_ms: str(const.DEADLINE_MS)}
        method, body = ("POST", b"order") if kind == ORDER else ("GET", b"")
        sock.sendall(request_bytes(target, method, body, **fields))

    def _exchange(self, sock: gevent.socket.socket, kind: str, target: str, entry: str) -> Outcome:
        sock.settimeout(const.DEADLINE_MS / MS_PER_S + const.LATE_ANSWER_TIMEOUT_S)
        sent_at = time.monotonic()
        timed_out = False
        request_id = request_id_of(kind, target)
        try:
            self._send(sock, kind, target)
            answer = read_answer(sock)
        except OSError as err:
            answer = Answer(b"", complete=False)
            timed_out = isinstance(err, TimeoutError)
        outcome = Outcome(request_id, kind, target, entry, sent_at, time.monotonic(), answer)
        self.answer_check.on_outcome(outcome)
        self.recent.append(outcome)
        if self.disturbances.quiet_since(sent_at):
            executions = self.answer_check.executions_of(request_id)
            lost = not answer.complete and (timed_out or bool(executions))
            self.results.check("nothing is lost in quiet times", not lost, (outcome, executions))
        return outcome


def request_id_of(kind: str, target: str) -> str:
    """Return the id of a request, made of its kind and the number at the end of its target."""
    return f"{kind}-{target.rpartition('/')[2]}"
