"""Measures an entry and a bare fan-out alternately."""

import dataclasses
import time

from bench.experiments.context import Context
from bench.experiments.figures import Figures
from bench.experiments.serving import sizes
from bench.experiments.serving.bare_fanout import BareFanout
from bench.experiments.serving.cpu_use import CpuUse
from bench.experiments.serving.serving_deployment import ServingDeployment
from bench.experiments.serving.serving_run import offered
from bench.experiments.serving.workload import Workload
from bench.load.generator import LoadGenerator
from bench.load.query_record import QueryRecord

_US_PER_S = 1_000_000.0


class CostRounds:
    """Offers the same load to the upstreams directly and through the entry, alternately.

    Alternating makes other load on the machine affect both equally.
    """

    def __init__(self, context: Context, workload: Workload, deployment: ServingDeployment) -> None:
        self.context = context
        self.workload = workload
        self.deployment = deployment
        self.fanout = BareFanout(deployment.plan, context.seed)
        self.fanout.run(workload.rate_per_s, workload.warm_up_s)
        self.bare_before = self.fanout.sent
        self.bare_s = 0.0
        self.entry_s = 0.0
        self.records: list[QueryRecord] = []

    @property
    def bare_sub_requests(self) -> int:
        """The number of sub-requests of the bare fan-out since its warm-up."""
        return self.fanout.sent - self.bare_before

    def run(self, rounds: int) -> None:
        """Measure both in each of `rounds` rounds, which together take the workload's duration."""
        round_workload = dataclasses.replace(
            self.workload, duration_s=self.workload.duration_s / rounds
        )
        for number in range(rounds):
            started = time.process_time()
            self.fanout.run(round_workload.rate_per_s, round_workload.duration_s)
            self.bare_s += time.process_time() - started
            settings = offered(self.context, round_workload, self.deployment, f"load-{number}")
            cpu = CpuUse(self.deployment)
            self.records.extend(LoadGenerator(settings, {}).run().records)
            self.entry_s += cpu.seconds("entry")

    def figures(self) -> Figures:
        """Return the cost of both and their ratio."""
        queries = len(self.records)
        bare_us = self.bare_s / self.bare_sub_requests * _US_PER_S
        entry_us = self.entry_s / (queries * sizes.SERVICES) * _US_PER_S
        return {
            "cpu_us_per_query": round(entry_us * sizes.SERVICES, 1),
            "cpu_us_per_sub_request": round(entry_us, 1),
            "bare_cpu_us_per_sub_request": round(bare_us, 1),
            "bare_failed": self.fanout.failed,
            "cost_ratio": round(entry_us / bare_us, 4),
        }
