"""How a query ended for its caller."""

import enum


class Outcome(enum.StrEnum):
    """What the caller got.

    `FAILED` is everything that is neither an answer nor a coded refusal: a
    broken connection, a body that cannot be read, or silence until the caller
    gave up.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
