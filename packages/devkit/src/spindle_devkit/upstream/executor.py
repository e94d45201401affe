"""Executes the requests of one stand-in upstream in its slots."""

import time
from collections.abc import Callable
from typing import Any

import gevent
import msgspec

from spindle_devkit.upstream import const
from spindle_devkit.upstream.disconnect_watcher import DisconnectWatcher
from spindle_devkit.upstream.environ import (
    ENVIRON_DEADLINE_MS,
    ENVIRON_REQUEST_ID,
    ENVIRON_SNAPSHOT,
)
from spindle_devkit.upstream.execution import Execution
from spindle_devkit.upstream.execution_state import ExecutionState
from spindle_devkit.upstream.query_answer import QueryAnswer
from spindle_devkit.upstream.query_request import QueryRequest
from spindle_devkit.upstream.queued_request import QueuedRequest
from spindle_devkit.upstream.refusal import Refusal
from spindle_devkit.upstream.response_fault_injector import ResponseFaultInjector
from spindle_devkit.upstream.row import Row
from spindle_devkit.upstream.run_answer import RunAnswer
from spindle_devkit.upstream.run_request import RunRequest
from spindle_devkit.upstream.standin_upstream import StandinUpstream
from spindle_devkit.upstream.upstream_response import UpstreamResponse

KIND_QUERY = "query"
KIND_RUN = "run"

_MS_PER_S = 1000.0

monotonic = time.monotonic


class Executor:
    """Refuses or executes each request and records the result."""

    def __init__(self, upstream: StandinUpstream) -> None:
        self.upstream = upstream
        self.fault_injector = ResponseFaultInjector(upstream)
        self.runs = 0

    def wait_while_frozen(self) -> None:
        """Wait until the simulated freeze of the upstream has ended."""
        while (remaining_s := self.upstream.behavior.freeze_until - monotonic()) > 0:
            gevent.sleep(remaining_s)

    def query(self, environ: dict[str, Any], body: bytes, handler: Any) -> UpstreamResponse | None:
        """Execute a query; return `None` if the caller closed the connection.

        Raises `msgspec.DecodeError` for a malformed body.
        """
        request = msgspec.json.decode(body, type=QueryRequest)
        execution = self._record(KIND_QUERY, "", request.query, environ)
        refusal = self._refuse_snapshot(execution) or self._refuse(request.service, execution)
        if refusal:
            return refusal
        response = self._execute(execution, handler, lambda: self._rows(request, execution))
        return response and self.fault_injector.inject(response)

    def run(self, environ: dict[str, Any], body: bytes, handler: Any) -> UpstreamResponse | None:
        """Execute a non-idempotent request; it is not cancelled once it holds a slot.

        Returns `None` if the caller closed the connection while the request was
        queued. Raises `msgspec.DecodeError` for a malformed body.
        """
        request = msgspec.json.decode(body, type=RunRequest)
        execution = self._record(KIND_RUN, request.key, request.body, environ)
        refusal = self._refuse(request.service, execution)
        if refusal:
            return refusal
        response = self._execute(execution, handler, lambda: self._outcome(request))
        return response and self.fault_injector.inject(response)

    def _record(
        self, kind: str, key: str, asked: msgspec.Raw, environ: dict[str, Any]
    ) -> Execution:
        remaining = environ.get(ENVIRON_DEADLINE_MS)
        execution = Execution(
            upstream=self.upstream.settings.name,
            kind=kind,
            request_id=environ.get(ENVIRON_REQUEST_ID, ""),
            snapshot=environ.get(ENVIRON_SNAPSHOT, ""),
            key=key,
            asked=bytes(asked)[: const.MAX_RECORDED_REQUEST_BYTES].decode(errors="replace"),
            remaining_ms=float(remaining) if remaining else None,
            arrived_ms=_wall_ms(),
        )
        self.upstream.counters.arrived += 1
        self.upstream.executions.append(execution)
        return execution

    def _refuse_snapshot(self, execution: Execution) -> UpstreamResponse | None:
        if execution.snapshot in self.upstream.behavior.snapshots:
            return None
        self.upstream.counters.refused_snapshot += 1
        return _refused(execution, "409 Conflict", "snapshot-not-held")

    def _refuse(self, service: str, execution: Execution) -> UpstreamResponse | None:
        behavior, counters = self.upstream.behavior, self.upstream.counters
        if service != self.upstream.settings.service:
            return _refused(execution, "404 Not Found", "unknown-service")
        if behavior.draining:
            counters.refused_draining += 1
            return _refused(execution, "503 Service Unavailable", "draining")
        if behavior.shed_ratio > 0 and self.upstream.shed_rng.random() < behavior.shed_ratio:
            counters.refused_shed += 1
            return _refused(execution, "503 Service Unavailable", "shed")
        return None

    def _execute(
        self, execution: Execution, handler: Any, result: Callable[[], bytes]
    ) -> UpstreamResponse | None:
        queued = QueuedRequest(execution)
        if not self.upstream.slots.submit(queued):
            self.upstream.counters.refused_shed += 1
            return _refused(execution, "503 Service Unavailable", "shed")
        self.upstream.record_load()
        with DisconnectWatcher(handler.socket, queued.cancel):
            refusal = self._wait_for_slot(queued)
            if refusal or not queued.granted:
                return refusal
            return self._serve(queued, result)

    def _wait_for_slot(self, queued: QueuedRequest) -> UpstreamResponse | None:
        execution, upstream = queued.execution, self.upstream
        remaining_ms = execution.remaining_ms
        queued.changed.wait(None if remaining_ms is None else remaining_ms / _MS_PER_S)
        if queued.granted:
            return None
        upstream.slots.remove(queued)
        upstream.record_load()
        if queued.cancelled:
            execution.state = ExecutionState.CANCELLED_QUEUED
            upstream.counters.cancelled_queued += 1
            return None
        upstream.counters.refused_deadline += 1
        return _refused(execution, "504 Gateway Timeout", "deadline-exceeded")

    def _serve(self, queued: QueuedRequest, result: Callable[[], bytes]) -> UpstreamResponse | None:
        execution, upstream = queued.execution, self.upstream
        upstream.counters.executed += 1
        execution.state = ExecutionState.RUNNING
        execution.started_ms = _wall_ms()
        body = result()
        try:
            done = self._pass_time(queued)
        finally:
            upstream.slots.release()
            upstream.record_load()
        execution.finished_ms = _wall_ms()
        if not done:
            execution.state = ExecutionState.CANCELLED_RUNNING
            upstream.counters.cancelled_running += 1
            return None
        execution.state = ExecutionState.FINISHED
        upstream.counters.finished += 1
        return UpstreamResponse("200 OK", body, execution.request_id, execution.snapshot)

    def _pass_time(self, queued: QueuedRequest) -> bool:
        duration_s = self.upstream.times.draw_s(self.upstream.behavior, monotonic())
        if queued.execution.kind == KIND_RUN:
            gevent.sleep(duration_s)
            return True
        if not queued.cancelled:
            queued.changed.clear()
            queued.changed.wait(duration_s)
        return not queued.cancelled

    def _rows(self, request: QueryRequest, execution: Execution) -> bytes:
        service, snapshot = request.service, execution.snapshot
        rows = tuple(
            Row(service, snapshot, f"{service}/{number}", f"{number}@{snapshot}", request.query)
            for number in range(self.upstream.settings.rows)
        )
        return msgspec.json.encode(QueryAnswer(rows))

    def _outcome(self, request: RunRequest) -> bytes:
        self.runs += 1
        name = self.upstream.settings.name
        return msgspec.json.encode(
            RunAnswer(request.service, request.key, name, self.runs, request.body)
        )


def _refused(execution: Execution, status: str, code: str) -> UpstreamResponse:
    execution.state = ExecutionState.REFUSED
    execution.refusal = code
    body = msgspec.json.encode(Refusal(code, code, execution.request_id))
    return UpstreamResponse(status, body, execution.request_id, execution.snapshot, not_run=True)


def _wall_ms() -> float:
    return time.time() * _MS_PER_S
