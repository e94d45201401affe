"""End-to-end tests of a fleet with real processes."""

import json
import shutil
import signal
import subprocess
import sys

from tests.fleet.loopback_fleet import METRICS_PORT, wait_until
from tests.integration.fleet_case import FleetCase, plan_document

CONTROLS = ("core-1", "core-2", "core-3")


class TestFleet(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start(*CONTROLS)
        wait_until(
            "the first plan", lambda: self.fleet.replace_plan("core-1", plan_document(4)) == 200
        )

    def is_plan_applied(self, name: str, version: int) -> bool:
        return self.fleet.is_plan_applied(name, version)

    def leader(self) -> str:
        return wait_until("a leader", lambda: self.fleet.newest_leader(CONTROLS))

    def test_request_is_routed(self) -> None:
        self.fleet.start("front-1")
        wait_until("ready", lambda: self.fleet.is_ready("front-1"))
        answer = self.ask("front-1", "/a/%41?b=c")
        self.assertEqual((answer.status, answer.body), (200, b"GET /a/%41?b=c HTTP/1.1"))
        self.assertEqual(self.ask("front-1", "/nowhere/").status, 404)

    def test_explain_shows_a_request_by_its_id(self) -> None:
        self.fleet.start("front-1")
        wait_until("ready", lambda: self.fleet.is_ready("front-1"))
        self.assertEqual(self.ask("front-1", "/nowhere/").status, 404)
        address = f"{self.fleet.ip('core-1')}:{METRICS_PORT}"
        explanation = self.spindlectl(address, "explain", "id-1")
        self.assertIn("front-1 received the request: no route", explanation)
        self.assertIn("front-1 finished the request: refused unknown-route", explanation)
        shown = json.loads(self.spindlectl(address, "--json", "timeline", "--request", "id-1"))
        self.assertEqual({item["instance"] for item in shown["events"]}, {"front-1"})

    def spindlectl(self, address: str, *arguments: str) -> str:
        """Run a command, check that it succeeds, and return its standard output."""
        options = ["--key-file", "deploy/mesh.key", "--control", address]
        if arguments[0] == "--json":
            options.append(arguments[0])
            arguments = arguments[1:]
        command = [sys.executable, "-m", "spindle_cli", *options, *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        return done.stdout

    def test_acknowledged_plan_is_read_back_unchanged(self) -> None:
        newer = plan_document(9, "/b/")
        cases = (
            ("newer", newer, 200),
            ("the same again", newer, 200),
            ("older", plan_document(5), 200),
            ("other content under the same number", plan_document(9, "/c/"), 200),
            ("invalid", plan_document(12, "/no-slash"), 400),
            ("cut short", plan_document(13)[:-5], 400),
        )
        for name, sent, status in cases:
            self.assertEqual(self.fleet.replace_plan("core-2", sent), status, name)
        for control in CONTROLS:
            self.assertEqual(self.fleet.read_plan(control), (200, newer), control)

    def test_plan_survives_loss_of_the_leader_and_full_restart(self) -> None:
        self.fleet.start("front-1")
        wait_until("plan 4", lambda: self.is_plan_applied("front-1", 4))
        old_leader = self.leader()
        others = [name for name in CONTROLS if name != old_leader]
        self.fleet.processes[old_leader].kill()
        wait_until(
            "plan 6", lambda: self.fleet.replace_plan(others[0], plan_document(6, "/b/")) == 200
        )
        wait_until("plan 6 at the entry", lambda: self.is_plan_applied("front-1", 6))
        for process in self.fleet.processes.values():
            process.kill()
        self.fleet.start(*CONTROLS, "front-1", bootstrap=False)
        wait_until("ready", lambda: self.fleet.is_ready("front-1"))
        self.assertEqual(self.ask("front-1", "/b/1").status, 200)
        self.assertEqual(self.ask("front-1", "/a/1").status, 404)
        self.assertEqual(self.fleet.read_plan(old_leader), (200, plan_document(6, "/b/")))
        versions = [row["version"] for row in self.fleet.events("front-1", "plan")]
        self.assertEqual(versions[-1], 6)

    def test_emptied_and_new_instances_join(self) -> None:
        emptied = next(name for name in CONTROLS if name != self.leader())
        self.fleet.processes[emptied].kill()
        shutil.rmtree(self.fleet.folder / emptied)
        self.fleet.start(emptied, "core-4", bootstrap=False)
        for name in (emptied, "core-4"):
            wait_until(
                f"plan at {name}",
                lambda name=name: self.fleet.read_plan(name) == (200, plan_document(4)),
            )

    def test_nothing_is_confirmed_without_a_majority(self) -> None:
        self.fleet.start("front-1")
        wait_until("ready", lambda: self.fleet.is_ready("front-1"))
        for name in CONTROLS[1:]:
            self.fleet.processes[name].kill()
        self.assertNotEqual(self.fleet.replace_plan("core-1", plan_document(7)), 200)
        self.assertNotEqual(self.fleet.read_plan("core-1")[0], 200)
        self.assertEqual(self.ask("front-1").status, 200)

    def test_settings_reload_keeps_serving(self) -> None:
        self.fleet.start("front-1")
        wait_until("ready", lambda: self.fleet.is_ready("front-1"))
        for name in ("front-1", "core-1"):
            self.fleet.write_settings(name, False, (3, 2))
            self.fleet.processes[name].send_signal(signal.SIGHUP)
            wait_until("a reload", lambda name=name: self.fleet.events(name, "reload"))
        (self.fleet.folder / "front-1.ini").write_text("nonsense")
        wait_until("a warning", lambda: self.fleet.events("front-1", "bad-settings"))
        self.assertEqual(self.ask("front-1").status, 200)

    def test_graceful_shutdown_interrupts_nothing(self) -> None:
        self.fleet.start("front-1")
        wait_until("ready", lambda: self.fleet.is_ready("front-1"))
        self.fleet.processes["front-1"].terminate()
        wait_until("unready", lambda: not self.fleet.is_ready("front-1"))
        statuses: dict[str, int] = {}
        while self.fleet.processes["front-1"].running:
            target = f"/a/{len(statuses)}"
            answer = self.ask("front-1", target)
            statuses[target] = answer.status
            if answer.status:
                self.assertTrue(answer.complete)
                self.assertEqual(answer.headers.get("connection"), "close")
        self.assertIn(200, statuses.values())
        self.assertLessEqual(set(statuses.values()), {200, 503, 0})
        self.assertEqual(self.fleet.processes["front-1"].wait(1.0), 0)
        executed = {request.line.split()[1] for item in self.upstreams for request in item.requests}
        answered = {target for target, status in statuses.items() if status == 200}
        self.assertEqual(
            executed, answered, "every request that an upstream ran was answered with 200"
        )
