"""Constants of the HTTP endpoint for callers."""

PATH_READY = "/readyz"
PATH_LIVE = "/livez"
PREFIX_GROUPS = "/v1/groups/"
OPERATION_QUERY = "query"
OPERATION_RUN = "run"
SEGMENT_SERVICES = "services"

METHOD_GET = "GET"
METHOD_POST = "POST"

MAX_DEADLINE_MS = 60_000.0
DRAIN_POLL_INTERVAL_S = 0.01
