"""Paths and limits of the admin endpoint."""

MAX_BODY_BYTES = 4 * 1024 * 1024
PATH_METRICS = "/metrics"
PATH_LIVE = "/livez"
PATH_READY = "/readyz"
PATH_TIMELINE = "/v1/timeline"
PATH_INSTANCES = "/v1/instances"
WILDCARD = "*"
