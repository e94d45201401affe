"""Intervals and limits of news about requests that crash upstreams."""

# News are collected for this long before they are sent.
REPORT_DELAY_S = 0.01
# Requests whose news are sent at a time; more break at once only when connections do.
MAX_REPORTED = 64
LOG_LINES_PER_S = 20.0
