"""A request that is refused as not run never started at an upstream."""

import random
from collections import Counter

import gevent
from bench.load.run_answer import RunAnswer
from bench.plan import GroupPlan
from bench.plan_builder import build_plan

from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.integration.serving_case import IdSource, ServingCase, UpstreamLinks, started_marks

GROUP = "reservations"
REQUESTS = 120
REQUEST_INTERVAL_S = 0.01
DEADLINE_MS = 700
SETTLE_DELAY_S = 1.0
OUTCOME_UNKNOWN = "outcome-unknown"
FAULTS = ("refused", "cut_during_send", "reset_after_send", "shed_and_queue_timeout", "all")


class TestNotRun(ServingCase):
    links: UpstreamLinks

    def setUp(self) -> None:
        group = GroupPlan(GROUP, 1, 3, kind="request", settings=(("median-ms", "10"),))
        self.links = self.start_behind_proxy(
            build_plan((group,), entries=2, data_centers=("rennes-a",))
        )
        self.ids = IdSource()
        self.rng = random.Random(7)

    def test_requests_refused_as_not_run_never_ran(self) -> None:
        for fault in FAULTS:
            with self.subTest(fault):
                self._send_under_fault(fault)

    def _send_under_fault(self, fault: str) -> None:
        callers = [self.runner(entry, GROUP, DEADLINE_MS) for entry in (0, 1)]
        faults = gevent.spawn(getattr(self, f"_{fault}"))
        sent: dict[str, gevent.Greenlet] = {}
        for number in range(REQUESTS):
            mark = f"{fault}-{number}"
            caller = callers[number % 2]
            sent[mark] = gevent.spawn(caller.run, self.ids.next(), f"k{number}", {"mark": mark})
            gevent.sleep(REQUEST_INTERVAL_S)
        answers: dict[str, RunAnswer] = {mark: job.get() for mark, job in sent.items()}
        faults.kill()
        self.assertTrue(faults.successful(), faults.exception)
        self._restore()
        gevent.sleep(SETTLE_DELAY_S)
        self._check(answers)

    def _check(self, answers: dict[str, RunAnswer]) -> None:
        all_runs = Counter(started_marks(self.deployment.executions()))
        runs = Counter({mark: all_runs[mark] for mark in answers})
        codes = Counter(answer.code for answer in answers.values())
        falsely_not_run = {m: a for m, a in answers.items() if a.not_run and runs[m]}
        self.assertEqual(falsely_not_run, {}, f"refused as not run, but ran; {codes}")
        self.assertEqual([mark for mark, count in runs.items() if count > 1], [])
        wrongly_refused = {
            mark: answer
            for mark, answer in answers.items()
            if runs[mark] and answer.code not in ("", OUTCOME_UNKNOWN)
        }
        self.assertEqual(
            wrongly_refused,
            {},
            f"a request that ran must be answered or have code {OUTCOME_UNKNOWN}",
        )
        answered = [mark for mark, answer in answers.items() if not answer.code]
        self.assertEqual([mark for mark in answered if runs[mark] != 1], [])
        self.assertLess(len(answered), REQUESTS, "the fault must affect some requests")

    def _restore(self) -> None:
        self.deployment.change(BehaviorChange(shed_ratio=0.0, median_ms=10.0))
        self.links.change(
            refuse=False,
            truncate_forward_after=-1,
            truncate_backward_after=-1,
        )

    def _refused(self) -> None:
        """Refuse connections to upstreams, as after a crash before the request is sent."""
        while True:
            self.links.change(refuse=True, reset=True)
            gevent.sleep(0.2)
            self.links.change(refuse=False)
            gevent.sleep(0.1)

    def _cut_during_send(self) -> None:
        """Truncate each request after 10 to 399 bytes."""
        while True:
            self.links.change(truncate_forward_after=self.rng.randrange(10, 400))
            gevent.sleep(0.1)
            self.links.change(truncate_forward_after=-1)
            gevent.sleep(0.1)

    def _reset_after_send(self) -> None:
        """Reset connections while upstreams run the requests received on them."""
        self.deployment.change(BehaviorChange(median_ms=60.0))
        while True:
            self.links.change(reset=True)
            gevent.sleep(0.1)

    def _shed_and_queue_timeout(self) -> None:
        self.deployment.change(BehaviorChange(median_ms=300.0, shed_ratio=0.5))

    def _all(self) -> None:
        self.deployment.change(BehaviorChange(shed_ratio=0.3, median_ms=40.0))
        faults: list[dict[str, object]] = [
            {"refuse": True, "reset": True},
            {"refuse": False},
            {"truncate_forward_after": 200},
            {"truncate_forward_after": -1},
            {"truncate_backward_after": 40},
            {"truncate_backward_after": -1},
            {"reset": True},
        ]
        while True:
            link = self.rng.choice(sorted(self.links.listen_ports))
            self.links.change(link, **self.rng.choice(faults))
            gevent.sleep(0.03)
