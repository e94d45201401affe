"""Tests of the beginning of a deployment."""

from nose2.tools import params

from tests.cli.common import CliTestCase, FakeControl

BOOTSTRAP = "POST /v1/bootstrap"
BOTH = [("control-a", "f-a"), ("control-b", "f-b")]


class TestBootstrap(CliTestCase):
    def identity(self, control: FakeControl, members: list[tuple[str, str]]) -> None:
        rows = [{"name": name, "folder_id": folder, "voter": True} for name, folder in members]
        folder = control.name.replace("control", "f")
        value = {"name": control.name, "folder_id": folder, "blank": not members}
        value |= {"role": "follower", "term": 1, "leader": "", "commit_index": 1}
        value["applied_index"] = 1
        value["membership"] = {"members": rows}
        control.on("GET /v1/identity", lambda _body, _query: value)
        control.on(BOOTSTRAP, lambda _body, _query: [])

    def asked(self) -> list[int]:
        return [
            [endpoint for endpoint, _ in control.requests].count(BOOTSTRAP)
            for control in (self.first, self.second)
        ]

    @params(
        ("all blank", [], [], 0, [1, 1]),
        ("half way", BOTH, [], 0, [0, 1]),
        ("done", BOTH, BOTH, 0, [0, 0]),
        ("another deployment", [("control-a", "f-a")], [], 1, [0, 0]),
        ("another folder", [("control-a", "f-a"), ("control-b", "f-x")], [], 1, [0, 0]),
    )
    def test_it_may_be_run_again(
        self,
        _name: str,
        first: list[tuple[str, str]],
        second: list[tuple[str, str]],
        expected: int,
        asked: list[int],
    ) -> None:
        self.identity(self.first, first)
        self.identity(self.second, second)
        self.assertEqual(self.run_cli("bootstrap").exit_code, expected)
        self.assertEqual(self.asked(), asked)

    def test_one_without_an_answer_changes_nothing(self) -> None:
        self.identity(self.first, [])
        self.second.server.stop()
        self.assertEqual(self.run_cli("bootstrap").exit_code, 3)
        self.assertEqual(self.asked(), [0, 0])
