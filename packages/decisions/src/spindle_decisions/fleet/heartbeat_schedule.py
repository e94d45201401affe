"""Which control instances get a beat this time."""

from spindle_decisions.fleet import const


def is_heartbeat_due(number: int, rank: int, is_stable: bool, quorum_age_s: float) -> bool:
    """Return whether the target at `place` gets beat `number`.

    The first target gets every beat. The others get some of them, but all as soon as
    the word of a quorum is older than the first one should let it become.
    """
    if rank == 0 or not is_stable or quorum_age_s > const.QUORUM_STALE_S:
        return True
    return number % const.SECONDARY_HEARTBEAT_EVERY == 0
