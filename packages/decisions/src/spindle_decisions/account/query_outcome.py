"""Outcomes of a request."""

import enum


class QueryOutcome(enum.StrEnum):
    """The outcome of a request as seen by its caller."""

    ANSWERED = "answered"
    PARTIAL = "partial"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "outcome-unknown"
    CALLER_GONE = "caller-gone"
