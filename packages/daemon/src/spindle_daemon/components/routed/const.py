"""Times and bounds of routed requests."""

# A connection is given this long to be established.
CONNECT_TIMEOUT_S = 0.25
# How long sends that lost a race may still bring their answer, which keeps a connection.
CANCEL_GRACE_S = 0.2
# An idle connection is not used again when the upstream may be about to close it.
KEEP_ALIVE_MARGIN_S = 0.7
KEEP_ALIVE_MAX_S = 8.0
# A request that must not be repeated uses only a connection that was in use this lately.
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
RECEIVE_BYTES = 16 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# After how long a refused caller may come back.
RETRY_AFTER_S = 0.1
# The same while this instance holds no plan, which takes about that long after a start.
RETRY_AFTER_STARTING_S = 0.3
# Without a deadline of the caller's, the time-out of the route alone counts.
DEFAULT_DEADLINE_S = 3_600.0
USER_TIMEOUT_MS = 2_000
# The balancer asks once a second and takes an instance out after two misses.
SHUTDOWN_DELAY_S = 2.7
SHUTDOWN_MARGIN_S = 0.6
# One plain success in so many is logged.
LOG_SAMPLE_EVERY = 50
# Lines about single requests that one instance writes.
LOG_LINES_PER_S = 100.0
