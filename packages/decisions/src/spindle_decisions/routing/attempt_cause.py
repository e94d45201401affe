"""Why a request goes to an upstream."""

FIRST = "first"
HEDGE = "hedge"
RETRY = "retry"
