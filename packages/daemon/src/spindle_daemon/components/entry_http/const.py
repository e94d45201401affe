"""Constants of the endpoint for callers."""

PATH_READY = "/readyz"
PATH_LIVE = "/livez"
PREFIX_GROUPS = "/v1/groups/"
WORD_QUERY = "query"
WORD_RUN = "run"
WORD_SERVICES = "services"

METHOD_GET = "GET"
METHOD_POST = "POST"

MAX_DEADLINE_MS = 60_000.0
DRAIN_POLL_S = 0.01
