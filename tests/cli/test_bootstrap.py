"""Tests of the command `bootstrap`."""

from nose2.tools import params

from tests.cli.common import CliTestCase, FakeControl

BOOTSTRAP = "POST /v1/bootstrap"
BOTH_MEMBERS = [("control-a", "f-a"), ("control-b", "f-b")]


class TestBootstrap(CliTestCase):
    def serve_identity(self, control: FakeControl, members: list[tuple[str, str]]) -> None:
        rows = [{"name": name, "folder_id": folder, "voter": True} for name, folder in members]
        folder = control.name.replace("control", "f")
        value = {"name": control.name, "folder_id": folder, "blank": not members}
        value |= {"role": "follower", "term": 1, "leader": "", "commit_index": 1}
        value["applied_index"] = 1
        value["membership"] = {"members": rows}
        control.on("GET /v1/identity", lambda _body, _query: value)
        control.on(BOOTSTRAP, lambda _body, _query: [])

    def bootstrap_counts(self) -> list[int]:
        return [
            [endpoint for endpoint, _ in control.requests].count(BOOTSTRAP)
            for control in (self.first, self.second)
        ]

    @params(
        ("all blank", [], [], 0, [1, 1]),
        ("partial failure", BOTH_MEMBERS, [], 0, [0, 1]),
        ("done", BOTH_MEMBERS, BOTH_MEMBERS, 0, [0, 0]),
        ("another deployment", [("control-a", "f-a")], [], 1, [0, 0]),
        ("another folder", [("control-a", "f-a"), ("control-b", "f-x")], [], 1, [0, 0]),
    )
    def test_bootstrap_can_be_repeated(
        self,
        _name: str,
        first: list[tuple[str, str]],
        second: list[tuple[str, str]],
        expected_exit_code: int,
        expected_counts: list[int],
    ) -> None:
        self.serve_identity(self.first, first)
        self.serve_identity(self.second, second)
        self.assertEqual(self.run_cli("bootstrap").exit_code, expected_exit_code)
        self.assertEqual(self.bootstrap_counts(), expected_counts)

    def test_an_unreachable_control_prevents_any_change(self) -> None:
        self.serve_identity(self.first, [])
        self.second.server.stop()
        self.assertEqual(self.run_cli("bootstrap").exit_code, 3)
        self.assertEqual(self.bootstrap_counts(), [0, 0])
