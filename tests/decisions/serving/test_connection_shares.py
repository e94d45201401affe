"""Tests of connection shares when the list of instances lags."""

import random
import unittest

from nose2.tools import params

from spindle_decisions.serving.connection_shares import (
    GROW_DELAY_AFTER_LEAVE_S,
    GROW_DELAY_AFTER_LOSS_S,
    STARTUP_HOLD_S,
    ConnectionShares,
)

MAX_CONNECTIONS = 25
MAX_LIST_LAG_S = 3.0


def instance_list(names: list[str], leaving: str = "") -> dict[str, tuple[int, bool]]:
    return {name: (1, name == leaving) for name in names}


class TestShares(unittest.TestCase):
    @params((1, 22), (2, 11), (3, 7), (6, 3), (9, 2), (22, 1), (60, 1))
    def test_share_by_instance_count(self, entries: int, share: int) -> None:
        shares = ConnectionShares("e0", 0.0)
        shares.update_instances(instance_list([f"e{number}" for number in range(entries)]), 0.0)
        self.assertEqual(1, shares.share_for(MAX_CONNECTIONS, STARTUP_HOLD_S - 0.1))
        self.assertEqual(share, shares.share_for(MAX_CONNECTIONS, STARTUP_HOLD_S))

    def test_one_before_any_list(self) -> None:
        self.assertEqual(1, ConnectionShares("e0", 0.0).share_for(MAX_CONNECTIONS, 1000.0))

    @params(
        ("announced its leave", "e1", GROW_DELAY_AFTER_LEAVE_S),
        ("disappeared", "", GROW_DELAY_AFTER_LOSS_S),
    )
    def test_grows_after_a_delay(self, _name: str, leaving: str, delay_s: float) -> None:
        shares = ConnectionShares("e0", 0.0)
        shares.update_instances(instance_list(["e0", "e1"], leaving), 20.0)
        shares.update_instances(instance_list(["e0"]), 21.0)
        self.assertEqual(11, shares.share_for(MAX_CONNECTIONS, 21.0 + delay_s - 0.1))
        self.assertEqual(22, shares.share_for(MAX_CONNECTIONS, 21.0 + delay_s))

    @params(*range(20))
    def test_sum_stays_within_the_maximum(self, seed: int) -> None:
        """Instances join and disappear; each sees the list up to `MAX_LIST_LAG_S` late."""
        rng = random.Random(seed)
        live: dict[str, ConnectionShares] = {}
        history: list[list[str]] = []
        joined_at = [-100.0]
        for tick in range(600):
            now = tick * 0.5
            if now - joined_at[-1] > MAX_LIST_LAG_S and rng.random() < 0.08 and len(live) < 9:
                live[f"e{tick}"] = ConnectionShares(f"e{tick}", now)
                joined_at.append(now)
            elif live and rng.random() < 0.04:
                del live[rng.choice(sorted(live))]
            history.append(sorted(live))
            for shares in live.values():
                lag_ticks = rng.randrange(int(MAX_LIST_LAG_S / 0.5) + 1)
                names = history[max(0, len(history) - 1 - lag_ticks)]
                shares.update_instances(instance_list(names), now)
            held = sum(shares.share_for(MAX_CONNECTIONS, now) for shares in live.values())
            self.assertLessEqual(held, MAX_CONNECTIONS, f"at {now}")
