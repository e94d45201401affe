"""Whose turn it is to read the list of upstreams."""

from collections.abc import Sequence

from spindle_decisions.fleet import const


def read_after_s(name: str, leader: str | None, controls: Sequence[str]) -> float:
    """Return the age of the list at which a control instance reads it itself.

    The leader reads; when it falls silent or cannot reach the list, the others
    follow one after the other, so that a single one takes over.
    """
    if name == leader:
        return const.READ_LEADER_S
    rank = sorted(controls).index(name) if name in controls else len(controls)
    return const.READ_FOLLOWER_S + rank * const.READ_RANK_S
