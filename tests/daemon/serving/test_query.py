"""Queries through the whole serving path."""

import socket
import time
import unittest
from typing import Any

import gevent
import msgspec
from nose2.tools import params

from spindle_decisions.timeline.event_kind import EventKind
from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.daemon.serving.common import GROUP, Bench, bench, wait_until


def change(it: Bench, names: str, **changes: Any) -> None:
    """Change the behaviour of the stand-ins whose name starts with one of `names`."""
    for name, served in it.served.items():
        if name.startswith(tuple(names.split())):
            served.apply(BehaviorChange(**changes))


def kill(it: Bench, names: str) -> None:
    """Stop listening and close all connections, as the end of a process does."""
    for name, served in it.served.items():
        if name.startswith(tuple(names.split())):
            served.refuse()
            for sock in served.upstream.sockets:
                sock.shutdown(socket.SHUT_RDWR)


class TestQuery(unittest.TestCase):
    def test_whole_answer(self) -> None:
        with bench() as it:
            answer = it.tier.query()
            self.assertEqual(200, answer.status)
            self.assertEqual("1.1", answer.body["snapshot"])
            self.assertEqual(3, answer.body["services_total"])
            self.assertEqual([], answer.body["missing"])
            self.assertEqual(6, len(answer.body["rows"]))
            self.assertEqual(3, answer.body["config_version"])
            self.assertEqual([GROUP], it.tier.account.arrivals)
            self.assertEqual("answered", it.tier.account.records[0].outcome)

    def test_one_service(self) -> None:
        with bench() as it:
            path = f"/v1/groups/{GROUP}/services/{GROUP}-02/query"
            answer = it.tier.post(path, b'{"query":1}')
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
    def test_bad_answer_is_replaced(self, _name: str, trouble: dict[str, Any] | None) -> None:
        """Whichever replica answers badly, each service is covered by its own rows once."""
        with bench() as it:
            names = f"{GROUP}-01-a {GROUP}-02-b {GROUP}-03-a"
            if trouble is None:
                kill(it, names)
            else:
                change(it, names, **trouble)
            for _ in range(4):
                answer = it.tier.query()
                self.assertEqual([], answer.body["missing"])
                rows = [row["service"] for row in answer.body["rows"]]
                self.assertEqual(sorted([f"{GROUP}-0{n}" for n in (1, 2, 3)] * 2), sorted(rows))

    def test_swapped_answers_reach_nobody(self) -> None:
        with bench(services=1, serving_settings={"shares": False}) as it:
            change(it, GROUP, swap_next=2)
            asked = [
                gevent.spawn(
                    it.tier.post, f"/v1/groups/{GROUP}/query", b'{"query":{"who":%d}}' % number
                )
                for number in range(6)
            ]
            gevent.joinall(asked)
            for number, each in enumerate(asked):
                rows = each.value.body.get("rows", ())
                self.assertTrue(all(row["echo"] == {"who": number} for row in rows))

    def test_lost_service_is_named(self) -> None:
        with bench() as it:
            kill(it, f"{GROUP}-02")
            answer = it.tier.query()
            self.assertEqual([f"{GROUP}-02"], answer.body["missing"])
            self.assertEqual(3, answer.body["services_total"])
            refused = it.tier.query(Min_Coverage="0.9")
            self.assertEqual(
                (503, "coverage-below-minimum"), (refused.status, refused.body["code"])
            )
            record = it.tier.account.records[0]
            self.assertEqual(("partial", (f"{GROUP}-02",)), (record.outcome, record.missing))

    def test_deadline(self) -> None:
        with bench(replicas=1, serving_settings={"hedging": False}) as it:
            change(it, f"{GROUP}-03", median_ms=5000.0)
            answer = it.tier.query(Deadline_Ms="200")
            self.assertEqual([f"{GROUP}-03"], answer.body["missing"])
            refused = it.tier.query(Deadline_Ms="200", Min_Coverage="1")
            self.assertEqual((504, "deadline-exceeded"), (refused.status, refused.body["code"]))
            upstream = it.served[f"{GROUP}-03-a"].upstream
            wait_until(self, lambda: upstream.counters.cancelled_running == 2)

    def test_hedge_beats_a_straggler_and_cancels_it(self) -> None:
        with bench(services=1) as it:
            change(it, f"{GROUP}-01-a", median_ms=3000.0)
            other = it.tier.coordinator.board.states[f"{GROUP}-01-b"]
            for _ in range(3):
                other.latency.observe(1.0, time.monotonic())
                self.assertEqual([], it.tier.query().body["missing"])
            slow = it.served[f"{GROUP}-01-a"].upstream.counters
            wait_until(self, lambda: slow.cancelled_running == slow.executed)
            self.assertIn(EventKind.HEDGE_SENT, it.tier.timeline.kinds())
            self.assertGreater(sum(record.hedges for record in it.tier.account.records), 0)

    def test_cancelled_connection_is_closed(self) -> None:
        """A late answer can never be read as the answer to a later request."""
        with bench(services=1, replicas=1, serving_settings={"hedging": False}) as it:
            upstream = it.served[f"{GROUP}-01-a"].upstream
            change(it, f"{GROUP}-01", late_next=1, late_s=0.3)
            it.tier.query(Deadline_Ms="100")
            opened = upstream.counters.connections_opened
            answer = it.tier.post(f"/v1/groups/{GROUP}/query", b'{"query":"second"}')
            self.assertEqual("second", answer.body["rows"][0]["echo"])
            self.assertGreater(upstream.counters.connections_opened, opened)

    def test_caller_gone_cancels(self) -> None:
        with bench(services=1, replicas=1, median_ms=3000.0) as it:
            upstream = it.served[f"{GROUP}-01-a"].upstream
            client = it.tier.client()
            asked = gevent.spawn(client.post, f"/v1/groups/{GROUP}/query", b'{"query":1}')
            wait_until(self, lambda: upstream.counters.executed == 1)
            asked.kill()
            wait_until(self, lambda: upstream.counters.cancelled_running == 1)
            wait_until(self, lambda: bool(it.tier.account.records))
            self.assertEqual("caller-gone", it.tier.account.records[0].outcome)

    def test_overload_is_refused_at_once(self) -> None:
        with bench(services=2, replicas=1, median_ms=300.0) as it:
            started = time.monotonic()
            asked = [gevent.spawn(it.tier.query, Deadline_Ms="900") for _ in range(25)]
            answers = [each.value for each in gevent.joinall(asked)]
            refused = [answer for answer in answers if answer.status == 503]
            self.assertTrue(all(answer.body["code"] == "overloaded" for answer in refused))
            self.assertGreater(len(refused), 10)
            self.assertLess(time.monotonic() - started, 9.0)
            executed = sum(served.upstream.counters.arrived for served in it.served.values())
            self.assertLessEqual(executed, 2 * (len(answers) - len(refused)))


class TestSnapshots(unittest.TestCase):
    def test_switch_under_a_query(self) -> None:
        """The replicas of one service move on; the whole query starts again on the newer."""
        with bench(snapshots=("1.1", "1.2"), serving_settings={"hedging": False}) as it:
            board = it.tier.coordinator.board
            it.tier.coordinator.prober.stop()
            both = board.by_service[f"{GROUP}-01"][0].snapshots
            for state in board.by_service[f"{GROUP}-02"]:
                board.update_snapshots(state, frozenset((min(both),)))
            change(it, f"{GROUP}-01", median_ms=200.0)
            asked = gevent.spawn(it.tier.query)
            wait_until(self, lambda: bool(it.executions("running")))
            for state in board.states.values():
                board.update_snapshots(state, both)
            change(it, f"{GROUP}-02", snapshots=("1.2",))
            again = gevent.spawn(it.tier.query)
            for answer in (asked.get(), again.get()):
                self.assertEqual([], answer.body["missing"])
                versions = {row["snapshot"] for row in answer.body["rows"]}
                self.assertEqual({answer.body["snapshot"]}, versions)

    def test_restart_when_the_pinned_one_vanishes(self) -> None:
        """All replicas moved on since they were asked; the refusals make the entry ask again."""
        with bench(median_ms=20.0) as it:
            it.tier.coordinator.prober.stop()
            it.tier.coordinator.prober.follow()
            gevent.sleep(0.1)
            change(it, GROUP, snapshots=("1.2",))
            answer = it.tier.query()
            self.assertEqual(("1.2", []), (answer.body["snapshot"], answer.body["missing"]))
            self.assertIn(EventKind.QUERY_RESTARTED, it.tier.timeline.kinds())
            record = it.tier.account.records[0]
            self.assertEqual((3, 3), (record.needed, record.restarts))


class TestDrain(unittest.TestCase):
    @params("catalog", "status", "header of an answer")
    def test_no_new_work(self, source: str) -> None:
        with bench(services=1, median_ms=5.0) as it:
            name = f"{GROUP}-01-a"
            upstream = it.served[name].upstream
            if source == "status":
                change(it, name, draining=True)
            elif source == "header of an answer":
                it.tier.coordinator.prober.stop()
                change(it, GROUP, median_ms=150.0)
                flying = [gevent.spawn(it.tier.query) for _ in range(2)]
                wait_until(self, lambda: upstream.counters.executed > 0)
                change(it, GROUP, median_ms=5.0)
                change(it, name, draining=True)
                gevent.joinall(flying)
            else:
                upstreams = tuple(
                    item if item.name != name else _drained(item) for item in it.catalog.upstreams
                )
                it.tier.take(_with(it.catalog, upstreams))
            wait_until(self, lambda: it.tier.coordinator.board.states[name].draining)
            arrived = upstream.counters.arrived
            asked = [gevent.spawn(it.tier.query) for _ in range(12)]
            answers = [each.value for each in gevent.joinall(asked)]
            self.assertEqual(arrived, upstream.counters.arrived)
            self.assertTrue(all(answer.status in (200, 503) for answer in answers))


def _drained(upstream: Any) -> Any:
    return msgspec.structs.replace(upstream, draining=True)


def _with(catalog: Any, upstreams: Any) -> Any:
    return msgspec.structs.replace(catalog, version=catalog.version + 1, upstreams=upstreams)
