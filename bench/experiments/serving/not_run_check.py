"""Compares the responses to callers with the executions at upstreams."""

from collections.abc import Iterable

import msgspec

from bench.load.answer_check import MARK_KEY
from bench.load.query_record import QueryRecord
from spindle_devkit.upstream.execution import Execution


def count_false_not_run(records: Iterable[QueryRecord], executions: Iterable[Execution]) -> int:
    """Return the number of queries that were reported as not run but ran at an upstream."""
    ran = {_mark(item) for item in executions if item.started_ms > 0}
    return sum(1 for record in records if record.not_run and record.mark in ran)


def _mark(execution: Execution) -> str:
    asked = msgspec.json.decode(execution.asked, type=dict[str, str])
    return asked.get(MARK_KEY, "")
