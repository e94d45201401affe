"""Constants of the serving component."""

PATH_QUERY = "/v1/query"
PATH_RUN = "/v1/run"
PATH_STATUS = "/v1/status"

CONNECT_TIMEOUT_S = 2.0
PROBE_INTERVAL_S = 1.0
PROBE_JITTER_RATIO = 0.2
PROBE_TIMEOUT_S = 0.5
SHARES_INTERVAL_S = 0.5
# After this time the instance becomes ready even if first probes are outstanding.
FIRST_PROBES_TIMEOUT_S = 2.0

# Limit of the bytes of one answer of an upstream, with its head.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

# Dispatched request ids that are kept in memory; the oldest is dropped first.
MAX_DISPATCHED_IDS = 50_000
PROPOSAL_TIMEOUT_S = 5.0
PROPOSAL_RETRY_DELAY_S = 0.2
MAX_PROPOSAL_RETRY_DELAY_S = 10.0
PROPOSAL_RETRY_TIMEOUT_S = 3600.0
# How long the outcome of a run is still awaited after its deadline.
RUN_OUTCOME_GRACE_S = 30.0
RECORD_SHUTDOWN_TIMEOUT_S = 5.0

MS_PER_S = 1000
US_PER_S = 1_000_000
