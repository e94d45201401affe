"""A benchmark of batches over a tree of real processes: one sender and several owners."""

import pathlib
import time

import gevent
import msgspec
import pynng
from hdrh.histogram import HdrHistogram

from bench.experiments.capacity.batch_messages import AnswerBatch, BatchedQuery, QueryBatch
from bench.experiments.capacity.slope import US_PER_S
from bench.experiments.figures import Figures
from bench.ports import LOOPBACK, free_ports
from bench.process import Process
from bench.process_meter import process_use
from spindle_daemon.mesh.receiver import receive_forever
from spindle_decisions.util.units import US_PER_MS

OWNERS = 4
UPSTREAMS_PER_OWNER = 325
BATCH_WINDOW_S = 0.02
QUERY_BYTES = 100
MAX_LATENCY_US = 60_000_000
SETTLE_DELAY_S = 1.5


class TreeBenchmark:
    """Sends the queries of each batch window to every owner and measures costs and latency."""

    def __init__(self, folder: pathlib.Path, queries_per_window: int) -> None:
        ports = free_ports(OWNERS + 1)
        self.address = f"tcp://{LOOPBACK}:{ports[0]}"
        self.targets = [f"tcp://{LOOPBACK}:{port}" for port in ports[1:]]
        self.folder = folder
        self.count = queries_per_window
        self.inbox = pynng.Pull0(listen=self.address, recv_max_size=0)
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(AnswerBatch)
        self.times_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.pending: dict[int, tuple[float, int]] = {}

    def run(self, duration_s: float) -> Figures:
        """Run the benchmark and return the costs per sub-request."""
        owners = [self._start_owner(number) for number in range(OWNERS)]
        try:
            time.sleep(SETTLE_DELAY_S)
            return self._measure(owners, duration_s)
        finally:
            for owner in owners:
                owner.kill()
            self.inbox.close()

    def _measure(self, owners: list[Process], duration_s: float) -> Figures:
        sockets = [pynng.Push0(dial=target) for target in self.targets]
        pids = [owner.child.pid for owner in owners if owner.child]
        receiver = gevent.spawn(receive_forever, self.inbox, self._receive)
        before = sum(process_use(pid).cpu_s for pid in pids)
        started, started_cpu = time.monotonic(), time.process_time()
        windows = int(duration_s / BATCH_WINDOW_S)
        for window in range(windows):
            self._send_window(sockets, window)
            due = started + (window + 1) * BATCH_WINDOW_S
            gevent.sleep(max(0.0, due - time.monotonic()))
        gevent.sleep(BATCH_WINDOW_S)
        sender_s = time.process_time() - started_cpu
        owner_s = sum(process_use(pid).cpu_s for pid in pids) - before
        elapsed_s = time.monotonic() - started
        receiver.kill()
        done = self.times_us.get_total_count()
        subrequests = max(1, done * OWNERS * UPSTREAMS_PER_OWNER)
        for sock in sockets:
            sock.close()
        return {
            "queries_per_window": self.count,
            "queries_per_s": round(done / elapsed_s, 1),
            "subrequests_per_s": round(subrequests / elapsed_s, 1),
            "sender_us_per_subrequest": round(sender_s * US_PER_S / subrequests, 4),
            "owner_us_per_subrequest": round(owner_s * US_PER_S / subrequests, 4),
            "p99_ms": self.times_us.get_value_at_percentile(99) / US_PER_MS,
            "unanswered": len(self.pending),
        }

    def _send_window(self, sockets: list[pynng.Push0], window: int) -> None:
        body = b"q" * QUERY_BYTES
        first = window * self.count
        queries = tuple(
            BatchedQuery(number, "3.42", 250, body) for number in range(first, first + self.count)
        )
        now = time.monotonic()
        for query in queries:
            self.pending[query.query_id] = (now, OWNERS)
        data = self.encoder.encode(QueryBatch(self.address, queries))
        for sock in sockets:
            sock.send(data)

    def _receive(self, data: bytes) -> None:
        for answer in self.decoder.decode(data).answers:
            self._on_answer(answer.query_id)

    def _on_answer(self, query_id: int) -> None:
        sent_at, missing = self.pending.pop(query_id)
        if missing > 1:
            self.pending[query_id] = (sent_at, missing - 1)
            return
        self.times_us.record_value(max(1, int((time.monotonic() - sent_at) * US_PER_S)))

    def _start_owner(self, number: int) -> Process:
        self.folder.mkdir(parents=True, exist_ok=True)
        arguments = ["--listen", self.targets[number], "--upstreams", str(UPSTREAMS_PER_OWNER)]
        log = self.folder / f"owner-{number}.log"
        process = Process(f"owner-{number}", "bench.owner_standin", arguments, log)
        process.start()
        return process
