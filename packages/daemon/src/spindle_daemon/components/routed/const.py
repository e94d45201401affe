"""Times and limits of routed requests."""

# Time to establish a connection.
CONNECT_TIMEOUT_S = 0.25
# Time after which attempts that are no longer needed are cancelled. Cancelling one at once
# would close a connection that can be reused if the attempt finishes soon.
CANCEL_GRACE_S = 0.2
# A connection is not reused in this time before the end of the upstream's keep-alive timeout.
KEEP_ALIVE_MARGIN_S = 0.7
# Maximum idle time of a connection, even if the upstream announces a longer timeout or none.
KEEP_ALIVE_MAX_S = 8.0
# Maximum idle time of a connection for a request that must not be sent twice.
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
# Maximum size of a single read from a connection.
RECEIVE_BYTES = 16 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Limits of the names and values of an answer's headers and trailers, with those of its
# interim answers, of the number of headers, and of the number of interim answers.
MAX_ANSWER_HEAD_BYTES = 64 * 1024
MAX_ANSWER_HEADERS = 512
MAX_INTERIM_ANSWERS = 8
# Limit of the bytes of all answers that are held at a time. The process may have 200 MB.
MAX_HELD_ANSWER_BYTES = 32 * 1024 * 1024
# An answer with fewer bytes counts as held only while it is read.
LONG_ANSWER_BYTES = 64 * 1024
# Retry-After value of a refusal.
RETRY_AFTER_S = 0.1
# Retry-After value while this instance has no plan; it usually has one that long after a start.
RETRY_AFTER_STARTING_S = 0.3
# Retry-After value while an equal request is tried at one upstream.
RETRY_AFTER_TRIAL_S = 0.2
# Deadline if the caller gives none; long enough that only the timeout of the route counts.
DEFAULT_DEADLINE_S = 3_600.0
# TCP_USER_TIMEOUT of connections to upstreams.
USER_TIMEOUT_MS = 2_000
# Time until the load balancer stops sending: it checks readiness once a second and removes an
# instance after two failed checks.
SHUTDOWN_DELAY_S = 2.7
# Part of the stop time that is reserved for the steps after the HTTP shutdown.
SHUTDOWN_MARGIN_S = 0.6
# Part of the stop time in which the last requests are answered.
LAST_ANSWERS_S = 0.4
# Time after which an upstream that said that it is leaving, but is listed as ready, is asked.
LEAVING_RECHECK_S = 10.0
LEAVING_PROBE_INTERVAL_S = 2.0
HEALTH_CHECK_TIMEOUT_S = 1.0
# Of the answers without incidents, one in this many is logged.
LOG_SAMPLE_EVERY = 50
# Maximum rate of log lines about single requests, per instance.
LOG_LINES_PER_S = 100.0
