"""Constants of the load generator."""

SECTION_LOAD = "load"

CONF_GROUP = "group"
CONF_ENTRIES = "entries"
CONF_RATE_PER_S = "rate-per-s"
CONF_DURATION_S = "duration-s"
CONF_SEED = "seed"
CONF_DEADLINE_MS = "deadline-ms"
CONF_MIN_COVERAGE = "min-coverage"
CONF_LATE_MS = "late-ms"

DEFAULT_SEED = 1
DEFAULT_DEADLINE_MS = 1_000
DEFAULT_MIN_COVERAGE = 0.0
DEFAULT_LATE_MS = 330

CLIENT_GRACE_S = 2.0
CONNECTIONS_PER_ENTRY = 2_000
START_DELAY_S = 0.05
MS_PER_S = 1_000.0
