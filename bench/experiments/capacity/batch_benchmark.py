"""Costs of batches over a tree of instances: encoding, merging and frames."""

from functools import partial

import gevent
import msgspec
import pynng

from bench.experiments.capacity.batch_messages import (
    AnswerBatch,
    BatchedAnswer,
    BatchedQuery,
    QueryBatch,
)
from bench.experiments.capacity.slope import cpu_us, fit
from bench.experiments.figures import Figures
from bench.ports import LOOPBACK, free_ports

BATCH_SIZES = (1, 10, 50, 200, 500)
MERGE_SIZES = (10, 50, 200, 500, 1300)
FRAME_BYTES = (100, 1_000, 10_000, 50_000, 200_000)
QUERY_BYTES = 100
ROW_BYTES = 40


def _queries(count: int) -> QueryBatch:
    body = b"q" * QUERY_BYTES
    items = tuple(BatchedQuery(number, "3.42", 250, body) for number in range(count))
    return QueryBatch("entry-1", items)


def query_batch(repeats: int) -> Figures:
    """Return the cost of encoding and decoding a batch of queries against its length."""
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(QueryBatch)

    def cost(count: int) -> float:
        batch = _queries(count)
        return cpu_us(lambda: decoder.decode(encoder.encode(batch)), max(1, repeats // count))

    return fit("us per batch, by queries", BATCH_SIZES, [cost(size) for size in BATCH_SIZES])


def answer_merge(repeats: int) -> Figures:
    """Return the cost of decoding and merging the sub-answers of a query against their number."""
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(BatchedAnswer)
    data = encoder.encode(BatchedAnswer(7, 1, (), b"r" * ROW_BYTES))

    def merge(count: int) -> bytes:
        rows = []
        covered = 0
        for _ in range(count):
            answer = decoder.decode(data)
            covered += answer.covered
            rows.append(answer.rows)
        return encoder.encode(BatchedAnswer(7, covered, (), b"".join(rows)))

    costs = [cpu_us(partial(merge, size), max(1, repeats // size)) for size in MERGE_SIZES]
    return fit("us per query, by sub-answers", MERGE_SIZES, costs)


def answer_batch(repeats: int) -> Figures:
    """Return the cost of encoding and decoding a batch of answers against its length."""
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(AnswerBatch)

    def cost(count: int) -> float:
        answers = tuple(BatchedAnswer(number, 9, (), b"r" * ROW_BYTES) for number in range(count))
        batch = AnswerBatch("owner-1", answers)
        return cpu_us(lambda: decoder.decode(encoder.encode(batch)), max(1, repeats // count))

    return fit("us per batch, by answers", BATCH_SIZES, [cost(size) for size in BATCH_SIZES])


def mesh_frame(repeats: int) -> Figures:
    """Return the cost of sending and receiving a frame on one event loop against its size."""
    address = f"tcp://{LOOPBACK}:{free_ports(1)[0]}"
    with pynng.Pull0(listen=address, recv_max_size=0) as inbox, pynng.Push0(dial=address) as out:

        def pass_on(data: bytes) -> None:
            out.send(data)
            while True:
                try:
                    inbox.recv(block=False)
                    return
                except pynng.TryAgain:
                    gevent.socket.wait_read(inbox.recv_fd)

        frames = [b"x" * size for size in FRAME_BYTES]
        costs = [cpu_us(partial(pass_on, frame), max(1, repeats // 10)) for frame in frames]
    return fit("us per frame sent and received, by bytes", FRAME_BYTES, costs)
