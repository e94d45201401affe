import time
import unittest

import gevent
import msgspec
from geventhttpclient.response import HTTPParseError
from nose2.tools import params

from spindle_decisions.wire.headers import (
    HEADER_DRAINING,
    HEADER_LOAD,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
)
from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.devkit.common import (
    client_of,
    post_query,
    post_run,
    serving,
    start_query,
    states_of,
    wait_until,
)

LONG_MS = 60_000.0
SHORT_MS = 20.0


class TestAnswers(unittest.TestCase):
    def test_keep_alive_answers_do_not_stall(self) -> None:
        with serving() as served:
            client = client_of(served)
            post_query(client).read()
            started = time.monotonic()
            for _ in range(20):
                post_query(client).read()
            self.assertLess(time.monotonic() - started, 0.4)
            self.assertEqual(served.upstream.counters.connections_opened, 1)

    def test_rows_name_snapshot_and_echo_the_query(self) -> None:
        with serving() as served:
            rows = msgspec.json.decode(post_query(client_of(served), "r7").read())["rows"]
        self.assertEqual([row["snapshot"] for row in rows], ["1.1", "1.1"])
        self.assertEqual([row["echo"] for row in rows], [{"asked": "r7"}] * 2)

    def test_truncated_body_is_short_and_ends_the_connection(self) -> None:
        with serving() as served:
            served.apply(BehaviorChange(truncate_next=1))
            client = client_of(served)
            with self.assertRaises(HTTPParseError):
                post_query(client).read()
            self.assertEqual(post_query(client).status_code, 200)

    def test_wrong_id_is_echoed_once(self) -> None:
        with serving() as served:
            served.apply(BehaviorChange(wrong_id_next=1))
            client = client_of(served)
            ids = []
            for _ in range(2):
                response = post_query(client, "r1")
                response.read()
                ids.append(response.get(HEADER_REQUEST_ID))
        self.assertNotEqual(ids[0], "r1")
        self.assertEqual(ids[1], "r1")

    def test_concurrent_answers_are_swapped_completely(self) -> None:
        with serving() as served:
            served.apply(BehaviorChange(swap_next=2))
            queries = [gevent.spawn(post_query, client_of(served), name) for name in ("r1", "r2")]
            gevent.joinall(queries, raise_error=True)
            received_ids = [item.value.get(HEADER_REQUEST_ID) for item in queries]
            echoes = [msgspec.json.decode(item.value.read())["rows"][0]["echo"] for item in queries]
        self.assertEqual(received_ids, ["r2", "r1"])
        self.assertEqual([echo["asked"] for echo in echoes], received_ids)

    def test_late_answer_comes_after_the_execution(self) -> None:
        with serving() as served:
            served.apply(BehaviorChange(late_next=1, late_s=0.2))
            post_query(client_of(served)).read()
            execution = served.upstream.executions[0]
        self.assertGreater(time.time() * 1000.0 - execution.finished_ms, 150)

    @params(
        (BehaviorChange(draining=True), {}, 503),
        (BehaviorChange(shed_ratio=1.0), {}, 503),
        (BehaviorChange(), {"X_Spindle_Snapshot": "2.1"}, 409),
        (BehaviorChange(snapshots=("1.2",)), {}, 409),
        (BehaviorChange(), {"service": "other"}, 404),
    )
    def test_refusals_did_not_run(
        self, change: BehaviorChange, sent: dict[str, str], status: int
    ) -> None:
        with serving() as served:
            served.apply(change)
            response = post_query(client_of(served), **sent)
            response.read()
            self.assertEqual(response.status_code, status)
            self.assertEqual(response.get(HEADER_NOT_RUN), "1")
            self.assertEqual(response.get(HEADER_DRAINING) == "1", bool(change.draining))
            self.assertEqual(served.upstream.counters.executed, 0)
            self.assertEqual(states_of(served), ["refused"])

    def test_malformed_body_is_refused(self) -> None:
        with serving() as served:
            response = client_of(served).post("/v1/query", body=b"{")
            response.read()
            self.assertEqual(response.status_code, 400)
            self.assertEqual(response.get(HEADER_NOT_RUN), "1")

    @params(
        (BehaviorChange(reported_load=0), "0/2"),
        (BehaviorChange(load_lag_s=60.0), "0/2"),
        (BehaviorChange(), "1/2"),
    )
    def test_load_report_may_be_false_or_delayed(
        self, change: BehaviorChange, reported: str
    ) -> None:
        with serving(median_ms=LONG_MS) as served:
            served.apply(change)
            start_query(served)
            wait_until(lambda: served.upstream.counters.executed == 1)
            response = post_query(client_of(served), X_Spindle_Snapshot="9.9")
            self.assertEqual(response.get(HEADER_LOAD), reported)

    def test_frozen_upstream_answers_only_afterwards(self) -> None:
        with serving() as served:
            served.apply(BehaviorChange(freeze_s=0.3))
            started = time.monotonic()
            post_query(client_of(served)).read()
            self.assertGreater(time.monotonic() - started, 0.29)


class TestSlots(unittest.TestCase):
    def test_never_more_than_the_slots_run(self) -> None:
        with serving(median_ms=SHORT_MS) as served:
            queries = [gevent.spawn(post_query, client_of(served), f"r{n}") for n in range(6)]
            gevent.joinall(queries, raise_error=True)
            spans = [(item.started_ms, item.finished_ms) for item in served.upstream.executions]
        overlaps = [sum(a <= start < b for a, b in spans) for start, _ in spans]
        self.assertEqual(max(overlaps), 2)
        self.assertEqual(len(spans), 6)

    def test_full_queue_sheds(self) -> None:
        with serving(median_ms=LONG_MS, queue=1) as served:
            for _ in range(3):
                start_query(served)
            wait_until(lambda: served.upstream.slots.inflight == 3)
            response = post_query(client_of(served))
            self.assertEqual((response.status_code, response.get(HEADER_NOT_RUN)), (503, "1"))

    def test_deadline_in_the_queue_did_not_run(self) -> None:
        with serving(median_ms=LONG_MS, slots=1) as served:
            start_query(served)
            wait_until(lambda: served.upstream.counters.executed == 1)
            response = post_query(client_of(served), X_Spindle_Deadline_Ms="50")
            self.assertEqual((response.status_code, response.get(HEADER_NOT_RUN)), (504, "1"))
            self.assertEqual(states_of(served), ["running", "refused"])

    def test_closed_connections_cancel_and_free_the_slot(self) -> None:
        with serving(median_ms=LONG_MS, slots=1) as served:
            clients = [client_of(served) for _ in range(2)]
            queries = []
            for client in clients:
                queries.append(gevent.spawn(post_query, client))
                wait_until(lambda: served.upstream.slots.inflight == len(queries))
            queries[1].kill()
            clients[1].close()
            wait_until(lambda: states_of(served) == ["running", "cancelled-queued"])
            queries[0].kill()
            clients[0].close()
            wait_until(lambda: states_of(served) == ["cancelled-running", "cancelled-queued"])
            self.assertEqual(served.upstream.slots.inflight, 0)

    def test_run_that_holds_a_slot_is_not_cancelled(self) -> None:
        with serving(median_ms=200.0, slots=1) as served:
            client = client_of(served)
            request = gevent.spawn(post_run, client)
            wait_until(lambda: served.upstream.counters.executed == 1)
            request.kill()
            client.close()
            wait_until(lambda: states_of(served) == ["finished"])

    def test_repeated_run_runs_again(self) -> None:
        with serving() as served:
            client = client_of(served)
            runs = [msgspec.json.decode(post_run(client).read())["run"] for _ in range(2)]
            recorded = [(item.kind, item.request_id) for item in served.upstream.executions]
        self.assertEqual(runs, [1, 2])
        self.assertEqual(recorded, [("run", "r1")] * 2)


class TestConnections(unittest.TestCase):
    def test_connection_over_the_cap_is_closed(self) -> None:
        with serving(connections=2) as served:
            clients = [client_of(served) for _ in range(3)]
            for client in clients[:2]:
                post_query(client).read()
            with self.assertRaises((OSError, HTTPParseError)):
                post_query(clients[2]).read()
            counters = served.upstream.counters
            self.assertEqual((counters.connections_max, counters.connections_refused), (2, 1))
            clients[0].close()
            wait_until(lambda: counters.connections == 1)
            self.assertEqual(post_query(client_of(served)).status_code, 200)

    def test_set_up_time_passes_once_per_connection(self) -> None:
        with serving(connect_ms=400.0) as served:
            client = client_of(served)
            started = time.monotonic()
            post_query(client).read()
            first_s = time.monotonic() - started
            post_query(client).read()
            second_s = time.monotonic() - started - first_s
        self.assertGreater(first_s, 0.39)
        self.assertLess(second_s, 0.39)

    def test_refused_connections_come_back_on_the_same_port(self) -> None:
        with serving() as served:
            kept = client_of(served)
            post_query(kept).read()
            served.apply(BehaviorChange(refuse_connections=True))
            with self.assertRaises(ConnectionRefusedError):
                post_query(client_of(served))
            self.assertEqual(post_query(kept).status_code, 200)
            served.apply(BehaviorChange(refuse_connections=False))
            self.assertEqual(post_query(client_of(served)).status_code, 200)


class TestControlSide(unittest.TestCase):
    def test_changes_and_executions_by_http(self) -> None:
        with serving() as served:
            client = client_of(served)
            post_query(client, "r1").read()
            changed = client.post("/v1/standin", body=b'{"draining": true}')
            changed.read()
            self.assertEqual((changed.status_code, post_query(client).status_code), (200, 503))
            report = msgspec.json.decode(client.get("/v1/standin/executions").read())
        self.assertEqual(report["counters"]["comptoir-01-a"]["executed"], 1)
        self.assertEqual(report["executions"][0]["asked"], '{"asked":"r1"}')

    @params(b'{"drainin": true}', b'{"upstream": "x"}', b"")
    def test_wrong_changes_are_refused(self, body: bytes) -> None:
        with serving() as served:
            response = client_of(served).post("/v1/standin", body=body)
            response.read()
            self.assertEqual(response.status_code, 400)
