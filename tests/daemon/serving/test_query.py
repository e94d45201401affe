"""Queries through the whole serving path."""

import unittest

from tests.daemon.serving.common import bench


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
            self.assertEqual(["comptoir"], it.tier.account.arrivals)
            self.assertEqual("answered", it.tier.account.records[0].outcome)

    def test_run(self) -> None:
        with bench() as it:
            answer = it.tier.run("set-12", "01927d4e-5c1a-7000-8000-000000000001")
            self.assertEqual(200, answer.status, answer.body)
