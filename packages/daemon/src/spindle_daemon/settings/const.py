"""Sections, keys and defaults of the settings file."""

SECTION_INSTANCE = "instance"
SECTION_MESH = "mesh"
SECTION_ADMIN = "admin"
SECTION_ENTRY = "entry"
SECTION_SERVING = "serving"
SECTION_CONTROL = "control"
SECTION_CONTROLS = "controls"
SECTION_PEERS = "peers"

CONF_NAME = "name"
CONF_DATA_CENTER = "data-center"
CONF_ROLE = "role"
CONF_DATA_DIR = "data-dir"
CONF_KEY_FILE = "key-file"
CONF_LOG_LEVEL = "log-level"
CONF_LISTEN = "listen"
CONF_ADVERTISE = "advertise"
CONF_MAX_BODY_BYTES = "max-body-bytes"
CONF_MAX_CALLERS = "max-callers"
CONF_HEADER_TIMEOUT_MS = "header-timeout-ms"
CONF_BODY_TIMEOUT_MS = "body-timeout-ms"
CONF_IDLE_TIMEOUT_MS = "idle-timeout-ms"
CONF_STOP_LAG_MS = "stop-lag-ms"
CONF_POLICY = "policy"
CONF_HEDGING = "hedging"
CONF_RETRIES = "retries"
CONF_LIMITS = "limits"
CONF_EJECTION = "ejection"
CONF_SHARES = "shares"
CONF_SNAPSHOT_PINNING = "snapshot-pinning"
CONF_CLAIMS = "claims"
CONF_HEARTBEAT_MS = "heartbeat-ms"
CONF_ELECTION_MIN_MS = "election-min-ms"
CONF_ELECTION_MAX_MS = "election-max-ms"
CONF_LEASE_MS = "lease-ms"
CONF_SNAPSHOT_EVERY = "snapshot-every"
CONF_GROUP_COMMIT = "group-commit"

DEFAULT_LOG_LEVEL = "info"
DEFAULT_MAX_BODY_BYTES = 64 * 1024
DEFAULT_MAX_CALLERS = 1000
DEFAULT_HEADER_TIMEOUT_MS = 5_000
DEFAULT_BODY_TIMEOUT_MS = 5_000
DEFAULT_IDLE_TIMEOUT_MS = 60_000
DEFAULT_STOP_LAG_MS = 2_000
DEFAULT_HEARTBEAT_MS = 100
DEFAULT_ELECTION_MIN_MS = 600
DEFAULT_ELECTION_MAX_MS = 1_200
DEFAULT_LEASE_MS = 2_000
DEFAULT_SNAPSHOT_EVERY = 1_000

ROLE_ENTRY = "entry"
ROLE_CONTROL = "control"
POLICY_TIER = "tier"
POLICY_NAIVE = "naive"
