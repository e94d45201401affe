"""Schedule of heartbeats to control instances."""

from spindle_decisions.fleet import const


def is_heartbeat_due(number: int, rank: int, is_stable: bool, quorum_age_s: float) -> bool:
    """Return whether the target at position `rank` gets heartbeat `number`.

    The primary target, at rank 0, gets every heartbeat. The others get every
    `SECONDARY_HEARTBEAT_EVERY`-th one. They get all while the sender is not stable, and
    while its last quorum contact is older than `QUORUM_STALE_S`, which does not happen
    with a working primary.
    """
    if rank == 0 or not is_stable or quorum_age_s > const.QUORUM_STALE_S:
        return True
    return number % const.SECONDARY_HEARTBEAT_EVERY == 0
