"""Times, weights and bounds of routed requests."""

# A reported load older than this says nothing about now.
LOAD_FRESH_S = 0.3
# How fast an upstream that was slow or failed is believed to have recovered.
PACE_HALF_LIFE_S = 2.0
FAILURE_HALF_LIFE_S = 2.0
# Weight of the newest answer in the moving averages.
PACE_WEIGHT = 0.25
FAILURE_WEIGHT = 0.3
PACE_MOST = 20.0
# An upstream of another data centre counts as this much slower.
FAR_FACTOR = 1.6
# A request that is out this many usual times shows an upstream that stands still.
STUCK_FACTOR = 2.5
# Consecutive failures after which an upstream is left out, and for how long.
EJECT_AFTER = 3
EJECT_S = 0.5
EJECT_MOST_S = 4.0
# Upstreams that could not be reached in a row before their data centre counts as cut
# off, and how long it is then left alone.
DARK_AFTER = 3
DARK_S = 1.0
# A request without any answer for this long counts towards that as well.
SILENT_S = 0.2
# While a route cannot be served, one request in this time is tried all the same.
TRIAL_S = 0.25
# A route is looked at for readiness while it had requests this lately.
ROUTE_IN_USE_S = 10.0
# Without word from a quorum for this long an instance may be cut off.
QUORUM_LOST_S = 1.2
# An address that belongs to another upstream now is left alone until the list shows it.
MISPLACED_S = 6.0
# Hedges go out after this many usual times, and at the latest after this part of the aim.
HEDGE_FACTOR = 2.2
HEDGE_LATEST_PART = 0.33
HEDGE_LEAST_S = 0.005
# One step of the estimate of the usual time.
USUAL_STEP = 0.03
USUAL_FIRST_PART_GATHER = 0.13
USUAL_FIRST_PART_SINGLE = 0.25
# Time kept back from the aim for the way from and to the caller, a new connection
# included; callers are a few milliseconds away.
ANSWER_MARGIN_S = 0.013
# Time kept back from the route's time-out and the caller's deadline.
END_MARGIN_S = 0.015
# Least time for which sending once more is of use.
LEAST_USEFUL_S = 0.003
# Parts of the shared budget that one instance takes, since the others do not see it.
BUDGET_RATIO_PART = 0.85
BUDGET_BURST_PART = 0.7
BUDGET_BUCKETS = 20
# Right after a start nobody knows yet how many instances share: so many are assumed at
# least, and nothing of the fixed part of the budget is taken, for so long.
UNSURE_INSTANCES = 8
UNSURE_S = 2.5
# The part of the connections of an upstream that is shared out; the rest is for newcomers.
CONNECTION_PART = 0.85
# Instances that would have less than this many connections to an upstream leave each
# shard to owners.
CROWDED_CONNECTIONS = 1.5
# Owners of a shard in each data centre that are counted as sharers of its upstreams.
OWNERS_EACH = 2
# An owner without word after this part of the aim counts as silent if it stays so.
OWNER_PATIENCE_PART = 0.7
# An owner that was silent is not asked for this long.
OWNER_SILENT_S = 3.0
