"""Base class and helpers of the tests of the serving path with real processes."""

import dataclasses
import pathlib
import random
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence

import gevent
import msgspec
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.fault_proxy import FaultProxy
from bench.load.outcome import Outcome
from bench.load.query_record import QueryRecord
from bench.load.request_id import create_request_id
from bench.load.run_caller import RunCaller
from bench.plan import DeploymentPlan, UpstreamPlan
from bench.ports import LOOPBACK, free_ports
from bench.pressure_monitor import PressureMonitor

from spindle_decisions.exceptions import DeadlineExceededError, OverloadedError
from spindle_decisions.util.units import MS_PER_S
from spindle_devkit.endpoint import Endpoint
from spindle_devkit.upstream.execution import Execution
from tests.integration.common import DeploymentCase

MARK = "mark"
HOUR_MS = 3_600_000
POLL_INTERVAL_S = 0.02
# The machine counts as short of processor time when some process waits for a processor in
# more than this fraction of the time.
CPU_PRESSURE_THRESHOLD = 0.4
# A query waits for what arrived before it; the pressure counts from this long before it.
CPU_PRESSURE_LEAD_S = 1.0
# Codes with which entry instances refuse requests on such a machine.
OVERLOAD_CODES = frozenset({OverloadedError.code, DeadlineExceededError.code})


class ServingCase(DeploymentCase):
    """Starts a deployment whose stand-in upstreams record their executions."""

    deployment: ServingDeployment
    pressure_monitor: PressureMonitor

    def start(
        self, plan: DeploymentPlan, later: tuple[UpstreamPlan, ...] = ()
    ) -> ServingDeployment:
        """Start a deployment and wait until it serves; its note omits the upstreams in `later`."""
        self.deployment = self._prepare(plan, later)
        self.deployment.start()
        self.pressure_monitor = PressureMonitor()
        self.pressure_monitor.start()
        self.addCleanup(self.pressure_monitor.stop)
        return self.deployment

    def start_behind_proxy(self, plan: DeploymentPlan) -> "UpstreamLinks":
        """Start a deployment whose entries connect to upstreams through a fault proxy."""
        self.deployment = self._prepare(plan)
        links = UpstreamLinks(self.deployment)
        links.start()
        self.deployment.start()
        return links

    def runner(self, entry: int, group: str, deadline_ms: int = 2_000) -> RunCaller:
        """Return a caller that sends non-idempotent requests to an entry instance."""
        return run_caller(self.deployment, entry, group, deadline_ms)

    def started(self, mark: str) -> list[Execution]:
        """Return the executions of a request that started at an upstream."""
        return [
            item
            for item in self.deployment.executions()
            if has_started(item) and has_mark(item, mark)
        ]

    def wait_started(self, mark: str) -> None:
        """Wait until an upstream has started to run a request."""
        self.wait_until_holds(lambda: bool(self.started(mark)), f"{mark} to run")

    def wait_until_holds(
        self, holds: Callable[[], bool], what: str, timeout_s: float = 20.0
    ) -> None:
        """Wait for a condition without blocking the event loop of the test."""
        with gevent.Timeout(timeout_s, TimeoutError(what)):
            while not holds():
                gevent.sleep(POLL_INTERVAL_S)

    def check_unanswered(self, records: Iterable[QueryRecord], load_started: float) -> None:
        """Check that queries without an answer were refused correctly and for a valid reason.

        `load_started` is the monotonic time of the start of their load.

        On a machine that is short of processor time answers take many times their median
        latency. Entry instances measure this and refuse requests that would wait too long,
        or the deadline passes. So each such query must have one of `OVERLOAD_CODES`, no
        upstream may have run a query refused as not run, and the machine must have been
        short of processor time just then.
        """
        unanswered = [item for item in records if item.outcome is not Outcome.ANSWERED]
        if not unanswered:
            return
        self.assertEqual({item.outcome for item in unanswered}, {Outcome.REFUSED})
        self.assertLessEqual({item.code for item in unanswered}, OVERLOAD_CODES)
        marks = {item.mark for item in unanswered if item.not_run}
        executed = [item for item in self.deployment.executions() if has_started(item)]
        self.assertEqual([item for item in executed if mark_of(item) in marks], [])
        self.check_short_of_cpu(unanswered, load_started)

    def check_short_of_cpu(self, records: Iterable[QueryRecord], load_started: float) -> None:
        """Check that processes waited for a processor in much of the time of each query."""
        for item in records:
            arrived = load_started + item.at_s
            pressure = self.pressure_monitor.pressure(
                arrived - CPU_PRESSURE_LEAD_S, arrived + item.latency_ms / MS_PER_S
            )
            self.assertGreater(
                pressure,
                CPU_PRESSURE_THRESHOLD,
                "refused or partial answers are allowed only on a machine short of processor "
                f"time: {item}",
            )

    def check_most_answered(self, records: Sequence[QueryRecord], load_started: float) -> None:
        """Check that over half of the queries were answered or refused for lack of CPU time.

        Refusals count only as far as `check_unanswered` allows them, and over a tenth of the
        queries must be answered.
        """
        answered = [item for item in records if item.outcome is Outcome.ANSWERED]
        if len(answered) > len(records) // 2:
            return
        refused = [item for item in records if item.code in OVERLOAD_CODES]
        self.assertGreater(len(answered) + len(refused), len(records) // 2)
        self.assertGreater(len(answered), len(records) // 10)
        self.check_unanswered(refused, load_started)

    def _prepare(
        self, plan: DeploymentPlan, later: tuple[UpstreamPlan, ...] = ()
    ) -> ServingDeployment:
        folder = tempfile.TemporaryDirectory(prefix="spindle-test-")
        self.addCleanup(folder.cleanup)
        deployment = ServingDeployment(plan, pathlib.Path(folder.name), later)
        self.addCleanup(deployment.kill_all)
        return deployment


class UpstreamLinks:
    """Links through one fault proxy process to every upstream of a deployment."""

    def __init__(self, deployment: ServingDeployment) -> None:
        plan = deployment.plan
        self.deployment = deployment
        *ports, self.admin_port = free_ports(len(plan.upstreams) + 1)
        self.listen_ports = dict(zip((item.name for item in plan.upstreams), ports, strict=True))
        proxied = [
            dataclasses.replace(item, port=self.listen_ports[item.name]) for item in plan.upstreams
        ]
        deployment.plan = dataclasses.replace(plan, upstreams=tuple(proxied))

    def start(self) -> None:
        """Start the proxy process and wait until it answers."""
        deployment = self.deployment
        links = {
            item.name: (self.listen_ports[item.name], item.port) for item in deployment.upstreams
        }
        self.proxy = FaultProxy("upstream-proxy", self.admin_port, links)
        deployment.processes[self.proxy.name] = self.proxy.start(deployment.folder)
        deployment.wait_until(self.proxy.is_ready, "the upstream proxy")

    def change(self, link: str = "", **faults: object) -> None:
        """Change one link, or all of them when none is named."""
        self.proxy.change(link, **faults)


class IdSource:
    """Creates request ids as callers do, from a seeded generator."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)

    def next(self, age_ms: int = 0) -> str:
        """Return an id that was created `age_ms` ago."""
        return create_request_id(int(time.time() * MS_PER_S) - age_ms, self.rng)


def run_caller(
    deployment: ServingDeployment, entry: int, group: str, deadline_ms: int
) -> RunCaller:
    """Return a caller that sends non-idempotent requests to an entry instance."""
    port = deployment.plan.entries[entry].entry_port
    return RunCaller(Endpoint(LOOPBACK, port), group, deadline_ms)


def has_mark(execution: Execution, mark: str) -> bool:
    """Return whether an execution belongs to the request with this mark."""
    return mark_of(execution) == mark


def mark_of(execution: Execution) -> str:
    """Return the mark of the request of an execution."""
    return msgspec.json.decode(execution.asked, type=dict[str, str]).get(MARK, "")


def has_started(execution: Execution) -> bool:
    """Return whether the upstream started to run the request."""
    return execution.started_ms > 0


def started_marks(executions: Iterable[Execution]) -> list[str]:
    """Return the mark of every started execution; a mark occurs once per execution."""
    return [mark_of(item) for item in executions if has_started(item)]
