"""The day's page equals the callers' own count, or names the gap."""

import dataclasses
from collections import Counter
from typing import Any

import gevent
import msgspec
from bench.caller import Caller
from bench.cli import spindlectl
from bench.plan import GroupPlan
from bench.plan_builder import build_plan

from spindle_decisions.account.day_page import DayPage
from spindle_decisions.account.group_page import GroupPage
from spindle_decisions.account.verdict import Verdict
from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.integration.serving_case import IdSource, ServingCase

QUERIES = "comptoir"
RUNS = "reservations"
UNKNOWN_GROUP = "unknown"
FAILING_SERVICE = "comptoir-02"
FAST_MS = 10.0
LATE_MS = 500.0
STALLED_MS = 3_000
CALLER_TIMEOUT_S = 0.15
LONG_DEADLINE_MS = 10_000
QUERIES_BEFORE_KILL = 25
QUERIES_AFTER_RESTART = 5


@dataclasses.dataclass(frozen=True)
class RequestEnd:
    """How a request to a group ended, as its caller observed it."""

    group: str
    end: str


class TestAccount(ServingCase):
    def setUp(self) -> None:
        steady = (("median-ms", str(FAST_MS)), ("sigma", "0"))
        self.start(
            build_plan(
                (
                    GroupPlan(QUERIES, 3, 2, settings=steady),
                    GroupPlan(RUNS, 1, 2, kind="request", settings=steady),
                ),
                entries=3,
                data_centers=("rennes-a",),
                serving_settings=(("shares", "off"), ("hedging", "off")),
            )
        )
        self.ids = IdSource()
        self.ends: Counter[RequestEnd] = Counter()

    def test_page_equals_the_callers_count(self) -> None:
        self._send_complete(0, 20)
        self._send_complete(1, 20)
        self._send_refused(1)
        self._send_slow(0)
        self._send_unknown_outcome(1)
        self._send_abandoned(0)
        self._send_partial(1)
        codes = self.deployment.stop_named(["entry-1", "entry-2", "entry-3"])
        self.assertEqual(set(codes.values()), {0})
        page = self._page()
        self.assertEqual((page.gaps, page.problems), ((), ()))
        self._check_equal(page)

    def test_killed_entry_is_a_gap(self) -> None:
        self._send_complete(0, 20)
        self._send_complete(1, 20)
        min_total = self.ends.total() + QUERIES_AFTER_RESTART
        self._send_complete(2, QUERIES_BEFORE_KILL)
        self.deployment.processes["entry-3"].kill()
        self.deployment.start_instance("entry-3")
        self.deployment.wait_ready("entry-3")
        self._send_complete(2, QUERIES_AFTER_RESTART)
        self.deployment.stop_named(["entry-3"])
        codes = self.deployment.stop_named(["entry-1", "entry-2"])
        self.assertEqual(set(codes.values()), {0})
        page = self._page()
        self.assertEqual({gap.instance for gap in page.gaps}, {"entry-3"})
        group = group_of(page, QUERIES)
        self.assertNotEqual(group.verdict, Verdict.GOOD)
        self.assertIn("gap", group.line)
        self.assertGreaterEqual(group.total, min_total)
        self.assertLessEqual(group.total, self.ends.total())

    def _check_equal(self, page: DayPage) -> None:
        found: Counter[RequestEnd] = Counter()
        for group in page.groups:
            found.update(ends_of(group))
        self.assertEqual(found, self.ends)
        for group in page.groups:
            expected = sum(count for end, count in self.ends.items() if end.group == group.group)
            self.assertEqual((group.arrived, group.total), (expected, expected), group.group)
            self.assertEqual((group.lost, group.still_open), (0, 0))
        missing = {item.name: item.count for item in group_of(page, QUERIES).missing}
        self.assertGreaterEqual(
            missing.get(FAILING_SERVICE, 0), self.ends[RequestEnd(QUERIES, "partial")]
        )

    def _record(self, group: str, end: str) -> None:
        self.ends[RequestEnd(group, end)] += 1

    def _caller(self, entry: int, timeout_s: float = 20.0) -> Caller:
        return Caller(self.deployment.plan.entries[entry].entry_port, timeout_s)

    def _query(self, entry: int, min_coverage: float = 0.0) -> Any:
        answer = self._caller(entry).query(QUERIES, LONG_DEADLINE_MS, min_coverage)
        self._record(QUERIES, answer.code or self._end_of_answer(answer.body, answer.took_s))
        return answer

    def _end_of_answer(self, body: Any, took_s: float) -> str:
        if body["missing"]:
            return "partial"
        return "late" if took_s * 1000 >= LATE_MS else "answered"

    def _send_complete(self, entry: int, count: int) -> None:
        for _ in range(count):
            self.assertEqual(self._query(entry).body["missing"], [])

    def _send_slow(self, entry: int) -> None:
        self._set_latency(LATE_MS)
        for job in [gevent.spawn(self._query, entry) for _ in range(2)]:
            job.get()
        self._set_latency(FAST_MS)

    def _send_refused(self, entry: int) -> None:
        caller = self._caller(entry)
        self.assertEqual(caller.query("nowhere").code, "unknown-group")
        self._record(UNKNOWN_GROUP, "unknown-group")
        self.assertEqual(caller.post(f"/v1/groups/{QUERIES}/query", b"{", {}).code, "bad-request")
        self._record(QUERIES, "bad-request")
        self.assertEqual(caller.run(RUNS, "k", "no id").code, "bad-request")
        self._record(RUNS, "bad-request")

    def _send_unknown_outcome(self, entry: int) -> None:
        self._set_latency(LATE_MS)
        runner = self.runner(entry, RUNS, deadline_ms=200)
        request_id = self.ids.next()
        self.assertEqual(runner.run(request_id, "k", {"mark": "x"}).code, "outcome-unknown")
        self._record(RUNS, "outcome-unknown")
        self._set_latency(FAST_MS)
        gevent.sleep(2 * LATE_MS / 1000)
        again = self.runner(entry, RUNS).run(request_id, "k", {"mark": "x"})
        self.assertEqual(again.status, 200)
        self._record(RUNS, "answered")

    def _send_abandoned(self, entry: int) -> None:
        self._set_latency(STALLED_MS)
        for _ in range(4):
            with self.assertRaises(OSError):
                self._caller(entry, CALLER_TIMEOUT_S).query(QUERIES, LONG_DEADLINE_MS)
            self._record(QUERIES, "caller-gone")
        self._set_latency(FAST_MS)

    def _send_partial(self, entry: int) -> None:
        for replica in "ab":
            self.deployment.change(
                BehaviorChange(upstream=f"{FAILING_SERVICE}-{replica}", shed_ratio=1.0)
            )
        for _ in range(6):
            self.assertEqual(self._query(entry).body["missing"], [FAILING_SERVICE])
        for _ in range(3):
            answer = self._query(entry, min_coverage=1.0)
            self.assertEqual(answer.code, "coverage-below-minimum")

    def _set_latency(self, median_ms: float) -> None:
        self.deployment.change(BehaviorChange(median_ms=median_ms))

    def _page(self) -> DayPage:
        done = spindlectl(self.deployment, "page", "--format", "json", "--timezone", "UTC")
        self.assertEqual(done.returncode, 0, done.stderr)
        return msgspec.json.decode(done.stdout, type=DayPage)


def group_of(page: DayPage, name: str) -> GroupPage:
    """Return the page of one group."""
    return next(group for group in page.groups if group.group == name)


def ends_of(group: GroupPage) -> Counter[RequestEnd]:
    """Return how often each end is counted on the page of a group."""
    counts = {
        "answered": group.answered,
        "late": group.late,
        "partial": group.partial,
        "outcome-unknown": group.outcome_unknown,
        "caller-gone": group.caller_gone,
        "lost": group.lost,
        **{item.name: item.count for item in group.refused},
    }
    return Counter({RequestEnd(group.group, end): count for end, count in counts.items() if count})
