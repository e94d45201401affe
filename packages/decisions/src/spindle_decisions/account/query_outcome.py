"""How a request ended."""

import enum


class QueryOutcome(enum.StrEnum):
    """The end of a request as its caller saw it."""

    ANSWERED = "answered"
    PARTIAL = "partial"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "outcome-unknown"
    CALLER_GONE = "caller-gone"
