"""A process that simulates an owner instance in the benchmark of batches."""

import gevent.monkey

gevent.monkey.patch_all()

from typing import Annotated  # noqa: E402

import msgspec  # noqa: E402
import pynng  # noqa: E402
import typer  # noqa: E402

from bench.experiments.capacity.batch_messages import (  # noqa: E402
    AnswerBatch,
    BatchedAnswer,
    QueryBatch,
)
from spindle_daemon.mesh.receiver import receive_forever  # noqa: E402

ROW_BYTES = 40


class OwnerStandin:
    """Answers batches of queries like an owner of `upstreams` upstreams.

    For each query it decodes one sub-answer per owned upstream, as if they had
    arrived in batched answers of the upstreams, and merges them.
    """

    def __init__(self, listen: str, upstreams: int) -> None:
        self.inbox = pynng.Pull0(listen=listen, recv_max_size=0)
        self.sockets: dict[str, pynng.Push0] = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.batches = msgspec.msgpack.Decoder(QueryBatch)
        self.answers = msgspec.msgpack.Decoder(BatchedAnswer)
        row = self.encoder.encode(BatchedAnswer(7, 1, (), b"r" * ROW_BYTES))
        self.sub_answers = (row,) * upstreams

    def answer(self, data: bytes) -> None:
        """Answer an encoded batch of queries."""
        batch = self.batches.decode(data)
        answers = tuple(self.merge(query.query_id) for query in batch.queries)
        reply = self.encoder.encode(AnswerBatch("owner", answers))
        self._socket_to(batch.sender).send(reply)

    def merge(self, query_id: int) -> BatchedAnswer:
        """Decode and merge the sub-answers of one query."""
        rows = []
        covered = 0
        for data in self.sub_answers:
            answer = self.answers.decode(data)
            covered += answer.covered
            rows.append(answer.rows)
        return BatchedAnswer(query_id, covered, (), b"".join(rows))

    def _socket_to(self, address: str) -> pynng.Push0:
        if address not in self.sockets:
            self.sockets[address] = pynng.Push0(dial=address)
        return self.sockets[address]


def main(
    listen: Annotated[str, typer.Option(help="tcp://IP:PORT")],
    upstreams: Annotated[int, typer.Option(help="Upstreams that it owns.")],
) -> None:
    """Answer batches until the process is killed."""
    owner = OwnerStandin(listen, upstreams)
    receive_forever(owner.inbox, owner.answer)


if __name__ == "__main__":
    typer.run(main)
