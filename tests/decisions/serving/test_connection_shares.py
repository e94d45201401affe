"""Shares of connections under lagging lists."""

import random
import unittest

from nose2.tools import params

from spindle_decisions.serving.connection_shares import (
    GROW_AFTER_LEAVE_S,
    GROW_AFTER_LOSS_S,
    SETTLE_S,
    ConnectionShares,
)

CAP = 25
LAG_S = 3.0


def listed(names: list[str], leaving: str = "") -> dict[str, tuple[int, bool]]:
    return {name: (1, name == leaving) for name in names}


class TestShares(unittest.TestCase):
    @params((1, 22), (2, 11), (3, 7), (6, 3), (9, 2), (22, 1), (60, 1))
    def test_settled(self, entries: int, share: int) -> None:
        shares = ConnectionShares("e0", 0.0)
        shares.heard_of(listed([f"e{number}" for number in range(entries)]), 0.0)
        self.assertEqual(1, shares.share_of(CAP, SETTLE_S - 0.1))
        self.assertEqual(share, shares.share_of(CAP, SETTLE_S))

    def test_one_before_any_list(self) -> None:
        self.assertEqual(1, ConnectionShares("e0", 0.0).share_of(CAP, 1000.0))

    @params(("left as told", "e1", GROW_AFTER_LEAVE_S), ("vanished", "", GROW_AFTER_LOSS_S))
    def test_grows_late(self, _name: str, leaving: str, after_s: float) -> None:
        shares = ConnectionShares("e0", 0.0)
        shares.heard_of(listed(["e0", "e1"], leaving), 20.0)
        shares.heard_of(listed(["e0"]), 21.0)
        self.assertEqual(11, shares.share_of(CAP, 21.0 + after_s - 0.1))
        self.assertEqual(22, shares.share_of(CAP, 21.0 + after_s))

    @params(*range(20))
    def test_sum_stays_under_cap(self, seed: int) -> None:
        """Entries join, leave and are killed; each sees the list up to `LAG_S` late."""
        rng = random.Random(seed)
        live: dict[str, ConnectionShares] = {}
        history: list[list[str]] = []
        joined_at = [-100.0]
        for tick in range(600):
            now = tick * 0.5
            if now - joined_at[-1] > LAG_S and rng.random() < 0.08 and len(live) < 9:
                live[f"e{tick}"] = ConnectionShares(f"e{tick}", now)
                joined_at.append(now)
            elif live and rng.random() < 0.04:
                del live[rng.choice(sorted(live))]
            history.append(sorted(live))
            for shares in live.values():
                late = rng.randrange(int(LAG_S / 0.5) + 1)
                names = history[max(0, len(history) - 1 - late)]
                shares.heard_of(listed(names), now)
            held = sum(shares.share_of(CAP, now) for shares in live.values())
            self.assertLessEqual(held, CAP, f"at {now}")
