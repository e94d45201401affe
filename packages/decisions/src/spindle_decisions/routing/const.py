"""Times, weights and limits of request routing."""

# Age in seconds after which a reported load no longer describes an upstream.
LOAD_REPORT_MAX_AGE_S = 0.3
# Half-lives with which the latency factor and the failure rate of an upstream decay.
LATENCY_FACTOR_HALF_LIFE_S = 2.0
FAILURE_HALF_LIFE_S = 2.0
# Weight of the newest answer in the moving averages.
LATENCY_FACTOR_WEIGHT = 0.25
FAILURE_WEIGHT = 0.3
MAX_LATENCY_FACTOR = 20.0
# Factor on the expected latency of an upstream in another data centre.
REMOTE_DATA_CENTER_FACTOR = 1.6
# A request counts as stalled once it is in flight for this multiple of its expected time.
STALLED_REQUEST_FACTOR = 2.5
# Consecutive failures that eject an upstream. The ejection time doubles with each
# further failure.
EJECTION_FAILURES = 3
EJECTION_INITIAL_S = 0.5
EJECTION_MAX_S = 4.0
# Number of upstreams that must fail without a success in between before their data
# centre counts as unreachable, and how long it is then avoided.
MIN_UNREACHABLE_UPSTREAMS = 3
UNREACHABLE_HOLD_S = 1.0
# A request without any response for this long counts as such a failure too.
NO_RESPONSE_TIMEOUT_S = 0.2
# While a route cannot be served, one request per interval is tried nevertheless.
TRIAL_REQUEST_INTERVAL_S = 0.25
# A route affects readiness while its last request is not older than this.
ROUTE_ACTIVE_WINDOW_S = 10.0
# An instance without contact with a quorum for this long may be partitioned away.
QUORUM_TIMEOUT_S = 1.2
# How long a replica is avoided after another upstream answered at its address; the
# list of upstreams shows the change within that time.
MISDIRECTED_HOLD_S = 6.0
# The hedge delay is this multiple of the median latency, limited to a share of the aim.
HEDGE_FACTOR = 2.2
HEDGE_MAX_DELAY_RATIO = 0.33
HEDGE_MIN_DELAY_S = 0.005
# Relative step of the median estimate per answer.
MEDIAN_STEP_RATIO = 0.03
# Initial median estimate as a share of the aim.
INITIAL_MEDIAN_RATIO_GATHER = 0.13
INITIAL_MEDIAN_RATIO_SINGLE = 0.25
# Time reserved from the aim for the network path to and from the caller, including a
# new connection; callers are a few milliseconds away.
RESPONSE_MARGIN_S = 0.013
# Time reserved in addition for each shard that is gathered through owners: an answer has a
# signature of some 36 bytes for each, which takes 40 us on a link of 7 Mbit/s, and is merged
# from the replies of all owners at the same moment.
RESPONSE_MARGIN_PER_SHARD_S = 0.0001
# Time that an owner reserves for its reply to another instance of its data centre.
OWNER_REPLY_MARGIN_S = 0.006
# Time reserved from the route's timeout and the caller's deadline.
DEADLINE_MARGIN_S = 0.015
# Minimum time left for which another attempt is sent.
MIN_ATTEMPT_TIME_S = 0.003
# Fractions of the shared retry budget that an instance uses, as instances do not see
# each other's retries.
BUDGET_RATIO_FRACTION = 0.85
BUDGET_BURST_FRACTION = 0.7
BUDGET_BUCKETS = 20
# Right after the start the number of instances that share the limits is unknown. For
# the grace time at least this many are assumed, and the budget's burst is not used.
STARTUP_MIN_INSTANCES = 8
STARTUP_GRACE_S = 2.5
# A request waits for a connection if its turn is expected within this fraction of the time
# left until the aim.
CONNECTION_WAIT_RATIO = 0.5
# Share of an upstream's connections that is divided; the rest is for new instances.
SHARED_CONNECTION_RATIO = 0.85
# With fewer connections per instance to an upstream than this, shards are queried
# through their owners.
MIN_DIRECT_CONNECTIONS = 1.5
# Owners of a shard in each data centre, among which its connections are divided.
OWNERS_PER_DATA_CENTER = 2
# Owners respond `OWNER_REPLY_MARGIN_S` before the asker's aim at the latest. Those that have
# not this long before it count as unresponsive; at the aim the request may have ended.
OWNER_CHECK_LEAD_S = 0.001
# A check for unresponsive owners that comes later than this has been delayed by a pause of
# this instance; the owners are not to blame for it.
OWNER_CHECK_MAX_DELAY_S = 0.05
# Pause between two probes of a suspected owner: at first, and at most. It doubles each time.
OWNER_PROBE_MIN_PAUSE_S = 0.2
OWNER_PROBE_MAX_PAUSE_S = 1.0
# An owner that has answered no probe for this long is silent. Living instances stop for up
# to a few tenths of a second, by their processor quota or a large plan.
OWNER_SILENCE_S = 0.5
# Seconds of its share of a rate limit that an instance may send at once after a pause, but
# always one request.
RATE_LIMIT_BURST_S = 1.0
# Requests per second of all instances that an upstream gets at least: only its answers say
# that a limit of 0 has ended.
MIN_RATE_LIMIT_PER_S = 0.5
# Hedges and retries of a gather that are sent before its first part has arrived. A request
# that crashes the upstreams that run it would take those of a shard one after the other.
UNPROVEN_EXTRA_ATTEMPTS = 1
# An owner with at least this many shards of a gather sends none of these: the request has many
# owners, and each would take the second upstream of another shard.
MIN_SHARDS_WITHOUT_UNPROVEN_EXTRAS = 3
