"""Sizes, times and bounds of the soak."""

# The deployment: small enough for one machine, with a majority to lose.
CONTROLS = ("core-1", "core-2", "core-3")
ENTRIES = ("front-1", "front-2", "front-3")
SHARDS = 4
UPSTREAMS_PER_SERVICE = 2
SLOTS = 8
WORK_RANGE_S = (0.002, 0.02)
RECORDS_PER_SHARD = 12
TOP = 8

# Load in requests a second; each kind has its own clients.
LOOKUPS_PER_S = 12.0
ORDERS_PER_S = 8.0
SEARCHES_PER_S = 8.0
BURST = 60
DEADLINE_MS = 1_500
# A caller waits that much longer than it said, to see a late answer as well.
LATE_ANSWER_TIMEOUT_S = 1.5
# An upstream that hangs closes the connection after this long.
HANG_DURATION_S = 6.0

# From docs/PROMISES.md and the platform's rules.
RECOVERY_TIMEOUT_S = 15.0
PROPAGATION_TIMEOUT_S = 3.0
DRAIN_TIMEOUT_S = 4.0
SHUTDOWN_TIMEOUT_S = 6.0
QUIET_DURATION_S = 5.0
# A process that is so young may not have its handlers of signals yet.
STARTUP_DURATION_S = 3.0
MAX_RESIDENT_BYTES = 200 * 1024 * 1024
# A reading of a machine with other work may be late by so much.
TIMING_TOLERANCE_S = 1.0
