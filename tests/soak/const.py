"""Sizes, times and limits of the soak."""

# The deployment fits on one machine; with three control instances it can lose its majority.
CONTROLS = ("core-1", "core-2", "core-3")
ENTRIES = ("front-1", "front-2", "front-3")
SHARDS = 4
UPSTREAMS_PER_SERVICE = 2
SLOTS = 8
WORK_RANGE_S = (0.002, 0.02)
RECORDS_PER_SHARD = 12
TOP = 8

# Load in requests per second; each kind of request has its own callers.
LOOKUPS_PER_S = 12.0
ORDERS_PER_S = 8.0
SEARCHES_PER_S = 8.0
BURST_REQUESTS = 60
DEADLINE_MS = 1_500
# A caller waits this long past its deadline, so that late answers are checked as well.
LATE_ANSWER_TIMEOUT_S = 1.5
# An upstream that hangs closes the connection after this time.
HANG_DURATION_S = 6.0

# Limits from docs/PROMISES.md and the platform's rules.
RECOVERY_TIMEOUT_S = 15.0
PROPAGATION_TIMEOUT_S = 3.0
DRAIN_TIMEOUT_S = 4.0
SHUTDOWN_TIMEOUT_S = 6.0
QUIET_DURATION_S = 5.0
# A process younger than this may not have installed its signal handlers yet.
STARTUP_DURATION_S = 3.0
MAX_RESIDENT_BYTES = 200 * 1024 * 1024
# Measured times may be late by this much on a machine with other work.
TIMING_TOLERANCE_S = 1.0
