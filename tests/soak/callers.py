"""Callers that offer load and keep their connections open until these end."""

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
from tests.soak.document import HOST, LOOKUP_PREFIX, ORDER_PREFIX, SEARCH_PREFIX
from tests.soak.ledger import Ledger
from tests.soak.outcome import Outcome
from tests.soak.quiet import Quiet
from tests.soak.stage import Stage

LOOKUP = "lookup"
KINDS = (
    (LOOKUP, LOOKUP_PREFIX, const.LOOKUPS_PER_S),
    (ORDER, ORDER_PREFIX, const.ORDERS_PER_S),
    (SEARCH, SEARCH_PREFIX, const.SEARCHES_PER_S),
)
CONNECT_S = 1.0


class Callers:
    """One caller for each kind of request and entry instance."""

    def __init__(self, stage: Stage, ledger: Ledger, quiet: Quiet, check: AnswerCheck) -> None:
        self.stage = stage
        self.ledger = ledger
        self.quiet = quiet
        self.check = check
        self.numbers = itertools.count(1)
        self.recent: list[Outcome] = []
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Begin to call."""
        for kind, prefix, rate in KINDS:
            for entry in const.ENTRIES:
                rng = random.Random(f"{kind} {entry}")
                pace = rate / len(const.ENTRIES)
                call = gevent.spawn(self._call, kind, prefix, entry, pace, rng)
                self.greenlets.append(self.ledger.watch(call))

    def stop(self) -> None:
        """Call no more."""
        gevent.killall(self.greenlets)

    def burst(self, entry: str) -> list[gevent.Greenlet]:
        """Send many requests at once, each on a connection of its own."""
        kinds = itertools.cycle(KINDS)
        return [
            gevent.spawn(self._once, kind, prefix, entry)
            for kind, prefix, _rate in itertools.islice(kinds, const.BURST)
        ]

    def leave(self, entry: str) -> None:
        """Send a request and go before the answer."""
        target = f"{SEARCH_PREFIX}{next(self.numbers)}"
        sock = self._connect(entry)
        if sock is None:
            return
        with sock, contextlib.suppress(OSError):
            self._send(sock, SEARCH, target)

    def _call(self, kind: str, prefix: str, entry: str, pace: float, rng: random.Random) -> None:
        sock: gevent.socket.socket | None = None
        while True:
            gevent.sleep(rng.expovariate(pace))
            sock = sock or self._connect(entry)
            if sock is None:
                continue
            target = f"{prefix}{next(self.numbers)}"
            outcome = self._ask(sock, kind, target, entry)
            closing = outcome.answer.headers.get("connection", "").lower() == "close"
            if closing or not outcome.answer.complete:
                sock.close()
                sock = None

    def _once(self, kind: str, prefix: str, entry: str) -> None:
        sock = self._connect(entry)
        if sock is not None:
            with sock:
                self._ask(sock, kind, f"{prefix}{next(self.numbers)}", entry)

    def _connect(self, entry: str) -> gevent.socket.socket | None:
        address = (self.stage.fleet.ip(entry), self.stage.fleet.front)
        try:
            return gevent.socket.create_connection(address, CONNECT_S)
        except OSError:
            return None

    def _send(self, sock: gevent.socket.socket, kind: str, target: str) -> None:
        request_id = request_id_of(kind, target)
        self.stage.sent.append((time.monotonic(), kind))
        fields = {"Host": HOST, ID: request_id, HEADERS.deadline_ms: str(const.DEADLINE_MS)}
        method, body = ("POST", b"order") if kind == ORDER else ("GET", b"")
        sock.sendall(request_bytes(target, method, body, **fields))

    def _ask(self, sock: gevent.socket.socket, kind: str, target: str, entry: str) -> Outcome:
        sock.settimeout(const.DEADLINE_MS / MS_PER_S + const.LATE_S)
        sent_at = time.monotonic()
        silent = False
        request_id = request_id_of(kind, target)
        try:
            self._send(sock, kind, target)
            answer = read_answer(sock)
        except OSError as err:
            answer = Answer(b"", complete=False)
            silent = isinstance(err, TimeoutError)
        outcome = Outcome(request_id, kind, target, entry, sent_at, time.monotonic(), answer)
        self.check.take(outcome)
        self.recent.append(outcome)
        if self.quiet.since(sent_at):
            run = self.check.runs_of(request_id)
            lost = not answer.complete and (silent or bool(run))
            self.ledger.check("nothing is lost in quiet times", not lost, (outcome, run))
        return outcome


def request_id_of(kind: str, target: str) -> str:
    """Return the id of a request; targets of a run of the soak are numbered."""
    return f"{kind}-{target.rpartition('/')[2]}"
