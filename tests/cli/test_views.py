"""Tests of the commands that merge the answers of many processes."""

import datetime
import json
import unittest
import urllib.parse
import zoneinfo
from unittest import mock

from nose2.tools import params

from spindle_cli.day_window import day_window
from spindle_cli.since_option import parse_since
from spindle_cli.summary_source import request_paths
from spindle_decisions.account.minute_counter import MinuteCounter
from spindle_decisions.account.minute_summary import encode_summary
from spindle_decisions.account.summaries_reply import SummariesReply
from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.timeline.timeline_reply import TimelineReply
from tests.cli.common import CliTestCase, DroppedConnection, FakeControl
from tests.decisions.account.common import record

DAY_START_MS = 1_764_806_400_000
DAY = "2025-12-04"


def summaries_handler(control: str, *minutes: bytes) -> object:
    return lambda _body, query: SummariesReply(
        control, DAY, 0, 6, minutes if "hour=0&" in query and DAY in query else ()
    )


def drop_connection(_body: bytes, _query: str) -> object:
    raise DroppedConnection


class TestPage(CliTestCase):
    def setUp(self) -> None:
        super().setUp()
        counter = MinuteCounter("entry-a", 1, "rennes-a", lambda _name: True, DAY_START_MS)
        counter.record_arrival("comptoir")
        self.checkpoint = encode_summary(counter.checkpoint())
        counter.record_finished(record())
        self.closed = encode_summary(counter.close(DAY_START_MS + 2_000))

    def page(self, *arguments: str) -> str:
        result = self.run_cli("page", "--day", DAY, *arguments)
        self.assertEqual(result.exit_code, 0, result.output)
        return result.stdout

    def test_answers_of_all_control_instances_are_merged(self) -> None:
        self.first.on(
            "GET /v1/summaries", summaries_handler("control-a", self.checkpoint, self.closed)
        )
        self.second.on(
            "GET /v1/summaries", summaries_handler("control-b", self.closed, self.checkpoint)
        )
        built = json.loads(self.page("--format", "json"))
        self.assertEqual((built["gaps"], built["problems"]), ([], []))
        group = built["groups"][0]
        self.assertEqual((group["arrived"], group["total"], group["verdict"]), (1, 1, "good"))

    def test_a_control_instance_without_an_answer_is_named(self) -> None:
        self.first.on("GET /v1/summaries", summaries_handler("control-a", self.closed))
        self.second.on("GET /v1/summaries", drop_connection)
        text = self.page()
        self.assertIn("INCOMPLETE", text)
        self.assertIn("summaries of control-b", text)

    def test_a_member_without_an_address_is_named(self) -> None:
        member = {"name": "control-c", "folder_id": "f", "voter": True}
        for control in (self.first, self.second):
            control.on("GET /v1/summaries", summaries_handler(control.name, self.closed))
            control.on("GET /v1/members", lambda _body, _query: [member])
        self.assertIn("no address leads to all of these control instances: control-c", self.page())

    def test_an_unreachable_member_is_named_once(self) -> None:
        member = {"name": "control-b", "folder_id": "f", "voter": True}
        self.first.on("GET /v1/summaries", summaries_handler("control-a", self.closed))
        self.first.on("GET /v1/members", lambda _body, _query: [member])
        self.second.server.stop()
        built = json.loads(self.page("--format", "json"))
        self.assertEqual(len(built["problems"]), 1, built["problems"])

    def test_the_html_page_is_self_contained(self) -> None:
        for control in (self.first, self.second):
            control.on("GET /v1/summaries", summaries_handler(control.name, self.closed))
        path = self.folder / "page.html"
        self.page("--format", "html", "--output", str(path))
        text = path.read_text()
        self.assertEqual(text.count("<svg"), 4)
        for forbidden in ("<script", "<link", "<img", "@import", "src="):
            self.assertNotIn(forbidden, text)


class TestSummaryRequests(unittest.TestCase):
    @params("UTC", "Asia/Ho_Chi_Minh", "Asia/Kathmandu", "Europe/Paris")
    def test_every_hour_is_requested_once_from_the_hour_before_the_day(self, zone: str) -> None:
        window = day_window(DAY, zoneinfo.ZoneInfo(zone), DAY_START_MS + 10**9)
        hours: list[int] = []
        for path in request_paths(window):
            query = dict(urllib.parse.parse_qsl(path.partition("?")[2]))
            first = int(query["hour"])
            self.assertLessEqual(first + int(query["hours"]), 24)
            day = datetime.date.fromisoformat(query["day"]).toordinal()
            hours.extend(day * 24 + first + index for index in range(int(query["hours"])))
        epoch = datetime.date(1970, 1, 1).toordinal() * 24
        first_hour, last_ms = window.from_ms // 3_600_000 - 1, window.to_ms - 1
        expected = range(epoch + first_hour, epoch + last_ms // 3_600_000 + 1)
        self.assertEqual(hours, list(expected))


class TestTimeline(CliTestCase):
    def serve_events(self, control: FakeControl, *walls: int, dropped: int = 0) -> None:
        events = tuple(
            Event(HlcStamp(wall, 0), control.name, EventKind.REQUEST_ARRIVED, request_id="r-1")
            for wall in walls
        )
        answer = TimelineReply(control.name, events, dropped, walls[0] if dropped else 0)
        control.on("GET /v1/timeline", lambda _body, _query: answer)

    def test_all_processes_are_merged(self) -> None:
        self.serve_events(self.first, 10, 30)
        self.serve_events(self.second, 20)
        result = self.run_cli("--json", "timeline")
        walls = [event["stamp"]["wall_ms"] for event in json.loads(result.stdout)["events"]]
        self.assertEqual(walls, [10, 20, 30])

    def test_unreachable_processes_and_dropped_events_are_reported(self) -> None:
        self.serve_events(self.first, 10, dropped=5)
        self.second.on("GET /v1/timeline", drop_connection)
        result = self.run_cli("timeline")
        self.assertEqual(result.exit_code, 0)
        self.assertIn("control-b", result.stderr)
        self.assertIn("control-a no longer holds its 5 oldest events", result.stderr)

    def test_follow_requests_only_new_events(self) -> None:
        queries: list[str] = []

        def answer(_body: bytes, query: str) -> object:
            queries.append(query)
            event = Event(HlcStamp(10 + len(queries), 2), "control-a", EventKind.DRAIN_SEEN)
            return TimelineReply("control-a", (event,), 0)

        self.first.on("GET /v1/timeline", answer)
        with mock.patch("spindle_cli.commands.timeline.gevent.sleep") as sleep:
            sleep.side_effect = [None, KeyboardInterrupt]
            result = self.run_cli("timeline", "--follow", controls=(self.first.address,))
        self.assertEqual(queries, ["", "since=11.2"])
        self.assertEqual(result.stdout.count("saw a drain"), 2)

    def test_explain_describes_events_in_sentences(self) -> None:
        self.serve_events(self.first, 10)
        self.serve_events(self.second, 20)
        result = self.run_cli("explain", "r-1")
        self.assertIn("+10 ms  control-b received the request.", result.stdout)


class TestStatus(CliTestCase):
    def test_a_stale_control_instance_is_ignored(self) -> None:
        center = {"data_center": "rennes-a", "version": 3, "instances": 2, "in_force": False}
        center |= {"unconfirmed": ["entry-b"], "silent": [], "oldest_age_ms": 0}
        base = {"role": "leader", "term": 2, "leader": "x", "digest": "d", "quorum_age_ms": 0}
        base["applied_index"] = 9
        for control, version, stale in ((self.first, 4, False), (self.second, 9, True)):
            value = {**base, "control": control.name, "version": version, "stale": stale}
            value["data_centers"] = [center]
            control.on("GET /v1/status", lambda _body, _query, value=value: value)
        result = self.run_cli("status")
        self.assertIn("version 4 accepted", result.stdout)
        self.assertIn("entry-b", result.stdout)
        self.assertIn("stale", result.stdout)


class TestDayWindow(unittest.TestCase):
    @params(
        ("UTC", DAY, 24, 0),
        ("Asia/Ho_Chi_Minh", DAY, 24, 420),
        ("Europe/Paris", "2025-10-26", 25, 120),
        ("Europe/Paris", "2025-03-30", 23, 60),
    )
    def test_a_day_follows_clock_changes(
        self, zone: str, day: str, hours: int, offset: int
    ) -> None:
        window = day_window(day, zoneinfo.ZoneInfo(zone), DAY_START_MS + 10**9)
        self.assertEqual((window.to_ms - window.from_ms) // 3_600_000, hours)
        self.assertEqual(window.offset_minutes, offset)


class TestSince(unittest.TestCase):
    @params(
        ("", 0),
        ("10m", 400_000),
        ("1970-01-01T00:00:07", 7_000),
        ("1970-01-01T01:00:07+01:00", 7_000),
        ("5000.3", 5_000),
    )
    def test_accepted_forms(self, text: str, expected: int) -> None:
        self.assertEqual(parse_since(text, 1_000_000).wall_ms, expected)
