"""Messages that carry queries and answers in batches over a tree of instances."""

import msgspec


class BatchedQuery(msgspec.Struct, frozen=True, array_like=True):
    """A query in a batch, for all upstreams that the receiver owns."""

    query_id: int
    snapshot: str
    remaining_ms: int
    body: bytes


class QueryBatch(msgspec.Struct, frozen=True, array_like=True, tag="query-batch"):
    """The queries that one instance collected for another in one batch window."""

    sender: str
    queries: tuple[BatchedQuery, ...]


class BatchedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The merged rows of one query from all services below the sender in the tree."""

    query_id: int
    covered: int
    missing: tuple[int, ...]
    rows: bytes


class AnswerBatch(msgspec.Struct, frozen=True, array_like=True, tag="answer-batch"):
    """The answers that one instance returns in one batch window."""

    sender: str
    answers: tuple[BatchedAnswer, ...]
