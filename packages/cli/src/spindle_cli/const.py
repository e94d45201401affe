"""Setting names, defaults, timeouts, limits and paths of the command line."""

ENV_CONTROLS = "SPINDLE_CONTROLS"
ENV_KEY_FILE = "SPINDLE_KEY_FILE"
ENV_CONFIG = "SPINDLE_CONFIG"

SECTION_SPINDLECTL = "spindlectl"
CONF_CONTROLS = "controls"
CONF_KEY_FILE = "key-file"
CONF_TIMEZONE = "timezone"
DEFAULT_TIMEZONE = "UTC"

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 10.0
NOTE_ATTEMPT_TIMEOUT_S = 8.0
DEFAULT_NOTE_WAIT_S = 30.0
RETRY_DELAY_S = 0.2
FOLLOW_INTERVAL_S = 1.0
MAX_REPLY_BYTES = 64 * 1024 * 1024
MAX_PARALLEL_REQUESTS = 16

PATH_NOTES = "/v1/notes"
PATH_CHECK = "/v1/notes/check"
PATH_STATUS = "/v1/status"
PATH_MEMBERS = "/v1/members"
PATH_INSTANCES = "/v1/instances"
PATH_IDENTITY = "/v1/identity"
PATH_BOOTSTRAP = "/v1/bootstrap"
PATH_REPAIR = "/v1/repair"
PATH_SUMMARIES = "/v1/summaries"
PATH_TIMELINE = "/v1/timeline"
