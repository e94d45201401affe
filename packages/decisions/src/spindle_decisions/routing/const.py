"""Times, weights and bounds of routed requests."""

# A reported load older than this says nothing about now.
LOAD_REPORT_MAX_AGE_S = 0.3
# How fast an upstream that was slow or failed is believed to have recovered.
LATENCY_FACTOR_HALF_LIFE_S = 2.0
FAILURE_HALF_LIFE_S = 2.0
# Weight of the newest answer in the moving averages.
LATENCY_FACTOR_WEIGHT = 0.25
FAILURE_WEIGHT = 0.3
MAX_LATENCY_FACTOR = 20.0
# An upstream of another data centre counts as this much slower.
REMOTE_DATA_CENTER_FACTOR = 1.6
# A request that is out this many usual times shows an upstream that stands still.
STALLED_REQUEST_FACTOR = 2.5
# Consecutive failures after which an upstream is left out, and for how long.
EJECTION_FAILURES = 3
EJECTION_INITIAL_S = 0.5
EJECTION_MAX_S = 4.0
# Upstreams that could not be reached in a row before their data centre counts as cut
# off, and how long it is then left alone.
MIN_UNREACHABLE_UPSTREAMS = 3
UNREACHABLE_HOLD_S = 1.0
# A request without any answer for this long counts towards that as well.
NO_RESPONSE_TIMEOUT_S = 0.2
# While a route cannot be served, one request in this time is tried all the same.
TRIAL_REQUEST_INTERVAL_S = 0.25
# A route is looked at for readiness while it had requests this lately.
ROUTE_ACTIVE_WINDOW_S = 10.0
# Without word from a quorum for this long an instance may be cut off.
QUORUM_TIMEOUT_S = 1.2
# An address that belongs to another upstream now is left alone until the list shows it.
MISDIRECTED_HOLD_S = 6.0
# Hedges go out after this many usual times, and at the latest after this part of the aim.
HEDGE_FACTOR = 2.2
HEDGE_MAX_DELAY_RATIO = 0.33
HEDGE_MIN_DELAY_S = 0.005
# One step of the estimate of the usual time.
MEDIAN_STEP_RATIO = 0.03
INITIAL_MEDIAN_RATIO_GATHER = 0.13
INITIAL_MEDIAN_RATIO_SINGLE = 0.25
# Time kept back from the aim for the way from and to the caller, a new connection
# included; callers are a few milliseconds away.
RESPONSE_MARGIN_S = 0.013
# Time kept back from the route's time-out and the caller's deadline.
DEADLINE_MARGIN_S = 0.015
# Least time for which sending once more is of use.
MIN_ATTEMPT_TIME_S = 0.003
# Parts of the shared budget that one instance takes, since the others do not see it.
BUDGET_RATIO_FRACTION = 0.85
BUDGET_BURST_FRACTION = 0.7
BUDGET_BUCKETS = 20
# Right after a start nobody knows yet how many instances share: so many are assumed at
# least, and nothing of the fixed part of the budget is taken, for so long.
STARTUP_MIN_INSTANCES = 8
STARTUP_GRACE_S = 2.5
# The part of the connections of an upstream that is shared out; the rest is for newcomers.
SHARED_CONNECTION_RATIO = 0.85
# Instances that would have less than this many connections to an upstream leave each
# shard to owners.
MIN_DIRECT_CONNECTIONS = 1.5
# Owners of a shard in each data centre that are counted as sharers of its upstreams.
OWNERS_PER_DATA_CENTER = 2
# An owner without word after this part of the aim counts as silent if it stays so.
OWNER_TIMEOUT_RATIO = 0.7
# An owner that was silent is not asked for this long.
OWNER_BACKOFF_S = 3.0
