"""The day's page against the callers' own count, or with the gap named."""

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
BROKEN = "comptoir-02"
QUICK_MS = 10.0
LATE_MS = 500.0
LONG_MS = 3_000
GIVE_UP_S = 0.15
PATIENT_MS = 10_000
BEFORE_KILL = 25
AFTER_RESTART = 5


@dataclasses.dataclass(frozen=True)
class Told:
    """What a caller saw: the group, and how its request ended."""

    group: str
    end: str


class TestAccount(ServingCase):
    def setUp(self) -> None:
        steady = (("median-ms", str(QUICK_MS)), ("sigma", "0"))
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
        self.told: Counter[Told] = Counter()

    def test_page_equals_the_callers_count(self) -> None:
        self._whole(0, 20)
        self._whole(1, 20)
        self._refused(1)
        self._late(0)
        self._unknown(1)
        self._abandoned(0)
        self._partial(1)
        codes = self.deployment.stop_named(["entry-1", "entry-2", "entry-3"])
        self.assertEqual(set(codes.values()), {0})
        page = self._page()
        self.assertEqual((page.gaps, page.problems), ((), ()))
        self._check_equal(page)

    def test_killed_entry_is_a_gap(self) -> None:
        self._whole(0, 20)
        self._whole(1, 20)
        known = self.told.total() + AFTER_RESTART
        self._whole(2, BEFORE_KILL)
        self.deployment.processes["entry-3"].kill()
        self.deployment.start_instance("entry-3")
        self.deployment.wait_ready("entry-3")
        self._whole(2, AFTER_RESTART)
        self.deployment.stop_named(["entry-3"])
        codes = self.deployment.stop_named(["entry-1", "entry-2"])
        self.assertEqual(set(codes.values()), {0})
        page = self._page()
        self.assertEqual({gap.instance for gap in page.gaps}, {"entry-3"})
        group = group_of(page, QUERIES)
        self.assertNotEqual(group.verdict, Verdict.GOOD)
        self.assertIn("gap", group.line)
        self.assertGreaterEqual(group.total, known)
        self.assertLessEqual(group.total, self.told.total())

    def _check_equal(self, page: DayPage) -> None:
        found: Counter[Told] = Counter()
        for group in page.groups:
            found.update(ends_of(group))
        self.assertEqual(found, self.told)
        for group in page.groups:
            asked = sum(count for told, count in self.told.items() if told.group == group.group)
            self.assertEqual((group.arrived, group.total), (asked, asked), group.group)
            self.assertEqual((group.lost, group.still_open), (0, 0))
        missing = {item.name: item.count for item in group_of(page, QUERIES).missing}
        self.assertGreaterEqual(missing.get(BROKEN, 0), self.told[Told(QUERIES, "partial")])

    def _tell(self, group: str, end: str) -> None:
        self.told[Told(group, end)] += 1

    def _caller(self, entry: int, timeout_s: float = 20.0) -> Caller:
        return Caller(self.deployment.plan.entries[entry].entry_port, timeout_s)

    def _query(self, entry: int, min_coverage: float = 0.0) -> Any:
        answer = self._caller(entry).query(QUERIES, PATIENT_MS, min_coverage)
        self._tell(QUERIES, answer.code or self._kind(answer.body, answer.took_s))
        return answer

    def _kind(self, body: Any, took_s: float) -> str:
        if body["missing"]:
            return "partial"
        return "late" if took_s * 1000 >= LATE_MS else "answered"

    def _whole(self, entry: int, count: int) -> None:
        for _ in range(count):
            self.assertEqual(self._query(entry).body["missing"], [])

    def _late(self, entry: int) -> None:
        self._slow(LATE_MS)
        for job in [gevent.spawn(self._query, entry) for _ in range(2)]:
            job.get()
        self._slow(QUICK_MS)

    def _refused(self, entry: int) -> None:
        caller = self._caller(entry)
        self.assertEqual(caller.query("nowhere").code, "unknown-group")
        self._tell(UNKNOWN_GROUP, "unknown-group")
        self.assertEqual(caller.post(f"/v1/groups/{QUERIES}/query", b"{", {}).code, "bad-request")
        self._tell(QUERIES, "bad-request")
        self.assertEqual(caller.run(RUNS, "k", "no id").code, "bad-request")
        self._tell(RUNS, "bad-request")

    def _unknown(self, entry: int) -> None:
        self._slow(LATE_MS)
        runner = self.runner(entry, RUNS, deadline_ms=200)
        request_id = self.ids.next()
        self.assertEqual(runner.run(request_id, "k", {"mark": "x"}).code, "outcome-unknown")
        self._tell(RUNS, "outcome-unknown")
        self._slow(QUICK_MS)
        gevent.sleep(2 * LATE_MS / 1000)
        again = self.runner(entry, RUNS).run(request_id, "k", {"mark": "x"})
        self.assertEqual(again.status, 200)
        self._tell(RUNS, "answered")

    def _abandoned(self, entry: int) -> None:
        self._slow(LONG_MS)
        for _ in range(4):
            with self.assertRaises(OSError):
                self._caller(entry, GIVE_UP_S).query(QUERIES, PATIENT_MS)
            self._tell(QUERIES, "caller-gone")
        self._slow(QUICK_MS)

    def _partial(self, entry: int) -> None:
        for replica in "ab":
            self.deployment.change(BehaviorChange(upstream=f"{BROKEN}-{replica}", shed_ratio=1.0))
        for _ in range(6):
            self.assertEqual(self._query(entry).body["missing"], [BROKEN])
        for _ in range(3):
            answer = self._query(entry, min_coverage=1.0)
            self.assertEqual(answer.code, "coverage-below-minimum")

    def _slow(self, median_ms: float) -> None:
        self.deployment.change(BehaviorChange(median_ms=median_ms))

    def _page(self) -> DayPage:
        done = spindlectl(self.deployment, "page", "--format", "json", "--timezone", "UTC")
        self.assertEqual(done.returncode, 0, done.stderr)
        return msgspec.json.decode(done.stdout, type=DayPage)


def group_of(page: DayPage, name: str) -> GroupPage:
    """Return the page of one group."""
    return next(group for group in page.groups if group.group == name)


def ends_of(group: GroupPage) -> Counter[Told]:
    """Return how often each end stands on the page of a group."""
    counts = {
        "answered": group.answered,
        "late": group.late,
        "partial": group.partial,
        "outcome-unknown": group.outcome_unknown,
        "caller-gone": group.caller_gone,
        "lost": group.lost,
        **{item.name: item.count for item in group.refused},
    }
    return Counter({Told(group.group, end): count for end, count in counts.items() if count})
