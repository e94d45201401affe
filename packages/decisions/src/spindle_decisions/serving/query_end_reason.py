"""The reason for which a query ended."""

import enum


class QueryEndReason(enum.StrEnum):
    """Why a query ended.

    `COMPLETE`: every service answered. `EXHAUSTED`: no further attempt was
    possible for some services. `DEADLINE`: the deadline passed. `OVERLOADED`: the
    query was shed and nothing was sent. `CALLER_GONE`: the caller disconnected.
    """

    COMPLETE = "complete"
    EXHAUSTED = "exhausted"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    CALLER_GONE = "caller-gone"
