"""Tests of queries from caller to upstreams."""

import socket
import time
import unittest
from typing import Any

import gevent
import msgspec
from nose2.tools import params

from spindle_decisions.timeline.event_kind import EventKind
from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.daemon.serving.common import GROUP, ServingTestBed, serving_test_bed, wait_until


def change_behavior(bed: ServingTestBed, names: str, **changes: Any) -> None:
    """Change the behaviour of the stand-ins whose name starts with one of `names`."""
    for name, served in bed.served.items():
        if name.startswith(tuple(names.split())):
            served.apply(BehaviorChange(**changes))


def kill(bed: ServingTestBed, names: str) -> None:
    """Stop listening and close all connections, as when the process ends."""
    for name, served in bed.served.items():
        if name.startswith(tuple(names.split())):
            served.refuse()
            for sock in served.upstream.sockets:
                sock.shutdown(socket.SHUT_RDWR)


class TestQuery(unittest.TestCase):
    def test_complete_answer(self) -> None:
        with serving_test_bed() as bed:
            answer = bed.entry.query()
            self.assertEqual(200, answer.status)
            self.assertEqual("1.1", answer.body["snapshot"])
            self.assertEqual(3, answer.body["services_total"])
            self.assertEqual([], answer.body["missing"])
            self.assertEqual(6, len(answer.body["rows"]))
            self.assertEqual(3, answer.body["config_version"])
            self.assertEqual([GROUP], bed.entry.account.arrivals)
            self.assertEqual("answered", bed.entry.account.records[0].outcome)

    def test_one_service(self) -> None:
        with serving_test_bed() as bed:
            path = f"/v1/groups/{GROUP}/services/{GROUP}-02/query"
            answer = bed.entry.post(path, b'{"query":1}')
            self.assertEqual(
                ([f"{GROUP}-02"], []), (answer.body["covered"], answer.body["missing"])
            )

    @params(
        ("truncated", {"truncate_next": 1}),
        ("of another request", {"wrong_id_next": 1}),
        ("shed", {"shed_ratio": 1.0}),
        ("gone", None),
        ("draining unnoticed", {"draining": True}),
    )
    def test_bad_answer_is_replaced(self, _name: str, fault: dict[str, Any] | None) -> None:
        """Each service is covered exactly once, by its own rows, if a replica is faulty."""
        with serving_test_bed() as bed:
            names = f"{GROUP}-01-a {GROUP}-02-b {GROUP}-03-a"
            if fault is None:
                kill(bed, names)
            else:
                change_behavior(bed, names, **fault)
            for _ in range(4):
                answer = bed.entry.query()
                self.assertEqual([], answer.body["missing"])
                rows = [row["service"] for row in answer.body["rows"]]
                self.assertEqual(sorted([f"{GROUP}-0{n}" for n in (1, 2, 3)] * 2), sorted(rows))

    def test_swapped_answers_are_not_delivered(self) -> None:
        with serving_test_bed(services=1, serving_settings={"shares": False}) as bed:
            change_behavior(bed, GROUP, swap_next=2)
            pending = [
                gevent.spawn(
                    bed.entry.post, f"/v1/groups/{GROUP}/query", b'{"query":{"who":%d}}' % number
                )
                for number in range(6)
            ]
            gevent.joinall(pending)
            for number, each in enumerate(pending):
                rows = each.value.body.get("rows", ())
                self.assertTrue(all(row["echo"] == {"who": number} for row in rows))

    def test_uncovered_service_is_named(self) -> None:
        with serving_test_bed() as bed:
            kill(bed, f"{GROUP}-02")
            answer = bed.entry.query()
            self.assertEqual([f"{GROUP}-02"], answer.body["missing"])
            self.assertEqual(3, answer.body["services_total"])
            refused = bed.entry.query(Min_Coverage="0.9")
            self.assertEqual(
                (503, "coverage-below-minimum"), (refused.status, refused.body["code"])
            )
            record = bed.entry.account.records[0]
            self.assertEqual(("partial", (f"{GROUP}-02",)), (record.outcome, record.missing))

    def test_deadline(self) -> None:
        with serving_test_bed(replicas=1, serving_settings={"hedging": False}) as bed:
            change_behavior(bed, f"{GROUP}-03", median_ms=5000.0)
            answer = bed.entry.query(Deadline_Ms="200")
            self.assertEqual([f"{GROUP}-03"], answer.body["missing"])
            refused = bed.entry.query(Deadline_Ms="200", Min_Coverage="1")
            self.assertEqual((504, "deadline-exceeded"), (refused.status, refused.body["code"]))
            upstream = bed.served[f"{GROUP}-03-a"].upstream
            wait_until(self, lambda: upstream.counters.cancelled_running == 2)

    def test_hedge_beats_a_straggler_and_cancels_it(self) -> None:
        with serving_test_bed(services=1) as bed:
            change_behavior(bed, f"{GROUP}-01-a", median_ms=3000.0)
            other = bed.entry.coordinator.pool.states[f"{GROUP}-01-b"]
            for _ in range(3):
                other.latency.observe(1.0, time.monotonic())
                self.assertEqual([], bed.entry.query().body["missing"])
            slow = bed.served[f"{GROUP}-01-a"].upstream.counters
            wait_until(self, lambda: slow.cancelled_running == slow.executed)
            self.assertIn(EventKind.HEDGE_SENT, bed.entry.timeline.kinds())
            self.assertGreater(sum(record.hedges for record in bed.entry.account.records), 0)

    def test_cancelled_connection_is_closed(self) -> None:
        """A late answer must not be read as the answer to a later request."""
        with serving_test_bed(services=1, replicas=1, serving_settings={"hedging": False}) as bed:
            upstream = bed.served[f"{GROUP}-01-a"].upstream
            change_behavior(bed, f"{GROUP}-01", late_next=1, late_s=0.3)
            bed.entry.query(Deadline_Ms="100")
            opened = upstream.counters.connections_opened
            answer = bed.entry.post(f"/v1/groups/{GROUP}/query", b'{"query":"second"}')
            self.assertEqual("second", answer.body["rows"][0]["echo"])
            self.assertGreater(upstream.counters.connections_opened, opened)

    def test_caller_disconnect_cancels_the_query(self) -> None:
        with serving_test_bed(services=1, replicas=1, median_ms=3000.0) as bed:
            upstream = bed.served[f"{GROUP}-01-a"].upstream
            client = bed.entry.client()
            pending = gevent.spawn(client.post, f"/v1/groups/{GROUP}/query", b'{"query":1}')
            wait_until(self, lambda: upstream.counters.executed == 1)
            pending.kill()
            wait_until(self, lambda: upstream.counters.cancelled_running == 1)
            wait_until(self, lambda: bool(bed.entry.account.records))
            self.assertEqual("caller-gone", bed.entry.account.records[0].outcome)

    def test_overload_is_refused_at_once(self) -> None:
        with serving_test_bed(services=2, replicas=1, median_ms=300.0) as bed:
            started = time.monotonic()
            pending = [gevent.spawn(bed.entry.query, Deadline_Ms="900") for _ in range(25)]
            answers = [each.value for each in gevent.joinall(pending)]
            refused = [answer for answer in answers if answer.status == 503]
            self.assertTrue(all(answer.body["code"] == "overloaded" for answer in refused))
            self.assertGreater(len(refused), 10)
            self.assertLess(time.monotonic() - started, 9.0)
            executed = sum(served.upstream.counters.arrived for served in bed.served.values())
            self.assertLessEqual(executed, 2 * (len(answers) - len(refused)))


class TestSnapshots(unittest.TestCase):
    def test_snapshot_switch_during_a_query(self) -> None:
        """A query whose snapshot is replaced at one service restarts on the newer snapshot."""
        with serving_test_bed(snapshots=("1.1", "1.2"), serving_settings={"hedging": False}) as bed:
            pool = bed.entry.coordinator.pool
            bed.entry.coordinator.prober.stop()
            both = pool.by_service[f"{GROUP}-01"][0].snapshots
            for state in pool.by_service[f"{GROUP}-02"]:
                pool.update_snapshots(state, frozenset((min(both),)))
            change_behavior(bed, f"{GROUP}-01", median_ms=200.0)
            pending = gevent.spawn(bed.entry.query)
            wait_until(self, lambda: bool(bed.executions("running")))
            for state in pool.states.values():
                pool.update_snapshots(state, both)
            change_behavior(bed, f"{GROUP}-02", snapshots=("1.2",))
            again = gevent.spawn(bed.entry.query)
            for answer in (pending.get(), again.get()):
                self.assertEqual([], answer.body["missing"])
                versions = {row["snapshot"] for row in answer.body["rows"]}
                self.assertEqual({answer.body["snapshot"]}, versions)

    def test_restart_when_the_pinned_snapshot_is_gone(self) -> None:
        """Replicas that changed their snapshot since the last probe are probed after a refusal."""
        with serving_test_bed(median_ms=20.0) as bed:
            bed.entry.coordinator.prober.stop()
            bed.entry.coordinator.prober.update_upstreams()
            gevent.sleep(0.1)
            change_behavior(bed, GROUP, snapshots=("1.2",))
            answer = bed.entry.query()
            self.assertEqual(("1.2", []), (answer.body["snapshot"], answer.body["missing"]))
            self.assertIn(EventKind.QUERY_RESTARTED, bed.entry.timeline.kinds())
            record = bed.entry.account.records[0]
            self.assertEqual((3, 3), (record.needed, record.restarts))


class TestDrain(unittest.TestCase):
    @params("catalog", "status", "header of an answer")
    def test_draining_upstream_gets_no_new_requests(self, source: str) -> None:
        with serving_test_bed(services=1, median_ms=5.0) as bed:
            name = f"{GROUP}-01-a"
            upstream = bed.served[name].upstream
            if source == "status":
                change_behavior(bed, name, draining=True)
            elif source == "header of an answer":
                bed.entry.coordinator.prober.stop()
                change_behavior(bed, GROUP, median_ms=150.0)
                in_flight = [gevent.spawn(bed.entry.query) for _ in range(2)]
                wait_until(self, lambda: upstream.counters.executed > 0)
                change_behavior(bed, GROUP, median_ms=5.0)
                change_behavior(bed, name, draining=True)
                gevent.joinall(in_flight)
            else:
                upstreams = tuple(
                    item if item.name != name else _drained(item) for item in bed.catalog.upstreams
                )
                bed.entry.update_catalog(_with_upstreams(bed.catalog, upstreams))
            wait_until(self, lambda: bed.entry.coordinator.pool.states[name].draining)
            arrived = upstream.counters.arrived
            pending = [gevent.spawn(bed.entry.query) for _ in range(12)]
            answers = [each.value for each in gevent.joinall(pending)]
            self.assertEqual(arrived, upstream.counters.arrived)
            self.assertTrue(all(answer.status in (200, 503) for answer in answers))


def _drained(upstream: Any) -> Any:
    return msgspec.structs.replace(upstream, draining=True)


def _with_upstreams(catalog: Any, upstreams: Any) -> Any:
    return msgspec.structs.replace(catalog, version=catalog.version + 1, upstreams=upstreams)
