"""A caller of an entry instance."""

import time

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from bench.load import const
from bench.load.answer_check import MARK_KEY, AnswerCheck
from bench.load.load_settings import LoadSettings
from bench.load.outcome import Outcome
from bench.load.query_answer import QueryAnswer
from bench.load.query_record import QueryRecord
from spindle_decisions.wire.headers import (
    HEADER_CODE,
    HEADER_DEADLINE_MS,
    HEADER_MIN_COVERAGE,
    HEADER_NOT_RUN,
)

CODES_NOT_RUN = frozenset({"bad-request", "unknown-group", "overloaded", "leaving", "not-run"})
STATUS_OK = 200


class Caller:
    """Sends queries to one entry instance over persistent connections."""

    def __init__(self, settings: LoadSettings, entry: int, check: AnswerCheck) -> None:
        endpoint = settings.entries[entry]
        timeout_s = settings.deadline_ms / const.MS_PER_S + const.CLIENT_GRACE_S
        self.entry = entry
        self.check = check
        self.path = f"/v1/groups/{settings.group}/query"
        self.headers = {
            "Content-Type": "application/json",
            HEADER_DEADLINE_MS: str(settings.deadline_ms),
            HEADER_MIN_COVERAGE: str(settings.min_coverage),
        }
        self.client = HTTPClient(
            endpoint.host,
            endpoint.port,
            concurrency=const.CONNECTIONS_PER_ENTRY,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )

    def ask(self, mark: str, at_s: float, intended: float) -> QueryRecord:
        """Send one query; `intended` is the monotonic time of its intended arrival in seconds."""
        body = msgspec.json.encode({"query": {MARK_KEY: mark}})
        try:
            response = self.client.post(self.path, body=body, headers=self.headers)
            data = bytes(response.read())
        except (OSError, HTTPParseError) as err:
            return self._failed(mark, at_s, intended, type(err).__name__)
        if response.status_code == STATUS_OK:
            return self._answered(mark, at_s, intended, data)
        code = response.get(HEADER_CODE, "")
        return QueryRecord(
            mark=mark,
            at_s=at_s,
            latency_ms=_since_ms(intended),
            outcome=Outcome.REFUSED if code else Outcome.FAILED,
            entry=self.entry,
            code=code or str(response.status_code),
            not_run=code in CODES_NOT_RUN or response.get(HEADER_NOT_RUN) == "1",
        )

    def close(self) -> None:
        """Close all connections."""
        self.client.close()

    def _answered(self, mark: str, at_s: float, intended: float, data: bytes) -> QueryRecord:
        latency_ms = _since_ms(intended)
        try:
            answer = msgspec.json.decode(data, type=QueryAnswer)
        except msgspec.DecodeError as err:
            return self._failed(mark, at_s, intended, type(err).__name__)
        return QueryRecord(
            mark=mark,
            at_s=at_s,
            latency_ms=latency_ms,
            outcome=Outcome.ANSWERED,
            entry=self.entry,
            snapshot=answer.snapshot,
            covered=len(answer.covered),
            services=answer.services_total,
            missing=tuple(answer.missing),
            wrong=self.check.find_errors(answer, mark),
        )

    def _failed(self, mark: str, at_s: float, intended: float, code: str) -> QueryRecord:
        return QueryRecord(
            mark=mark,
            at_s=at_s,
            latency_ms=_since_ms(intended),
            outcome=Outcome.FAILED,
            entry=self.entry,
            code=code,
        )


def _since_ms(intended: float) -> float:
    return (time.monotonic() - intended) * const.MS_PER_S
