"""Which control instances get a beat this time."""

from spindle_decisions.fleet import const


def is_heartbeat_due(number: int, place: int, settled: bool, quorum_age_s: float) -> bool:
    """Return whether the target at `place` gets beat `number`.

    The first target gets every beat. The others get some of them, but all as soon as
    the word of a quorum is older than the first one should let it become.
    """
    if place == 0 or not settled or quorum_age_s > const.QUORUM_STALE_S:
        return True
    return number % const.SECONDARY_HEARTBEAT_EVERY == 0
