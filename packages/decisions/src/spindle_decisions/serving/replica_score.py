"""The score by which the replicas of a service are compared."""

from spindle_decisions.serving.upstream_state import UpstreamState

MAX_LOAD_HINT = 2.0
HINT_WEIGHT = 0.5
DISTANCE_PENALTY_S = 0.003
SLOW_START_S = 5.0
SLOW_START_FACTOR = 3.0


def replica_score(state: UpstreamState, local: bool, now: float) -> float:
    """Estimate the time to an answer in seconds; the lowest score is best.

    The average latency is scaled up by this instance's own requests in flight
    per slot and by the load that the replica reports. The reported load decays
    and is capped, so that a false report can shift some requests but never all.
    A replica in another data centre gets `DISTANCE_PENALTY_S` on top. A replica in
    slow start gets a factor that falls linearly from `SLOW_START_FACTOR` to one
    within `SLOW_START_S`.
    """
    own_load = state.in_flight / state.upstream.slots
    load_hint = min(MAX_LOAD_HINT, state.load.hint(now))
    score = state.latency.value_at(now) * (1.0 + own_load + HINT_WEIGHT * load_hint)
    age_s = now - state.in_use_since
    if age_s < SLOW_START_S:
        score *= SLOW_START_FACTOR - (SLOW_START_FACTOR - 1.0) * max(0.0, age_s) / SLOW_START_S
    return score if local else score + DISTANCE_PENALTY_S
