"""Schedule of the processes that read the list of upstreams."""

from collections.abc import Sequence

from spindle_decisions.fleet import const


def refresh_age_s(name: str, leader: str | None, controls: Sequence[str]) -> float:
    """Return the age of the list in seconds at which a control instance reads it.

    The leader reads the list. When it fails or cannot reach the list, the others reach
    their age one after the other, so that only one takes over.
    """
    if name == leader:
        return const.LIST_REFRESH_LEADER_S
    rank = sorted(controls).index(name) if name in controls else len(controls)
    return const.LIST_REFRESH_FOLLOWER_S + rank * const.LIST_REFRESH_RANK_STEP_S
