"""Why a query ended."""

import enum


class QueryEndReason(enum.StrEnum):
    """The reason a query ended.

    `COMPLETE` covers every service. `EXHAUSTED` means that some services could
    not be asked any more; `DEADLINE` that time was up. `OVERLOADED` means that
    nothing was sent. `CALLER_GONE` means that nobody waits for the answer.
    """

    COMPLETE = "complete"
    EXHAUSTED = "exhausted"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    CALLER_GONE = "caller-gone"
