"""The outcome of a query for its caller."""

import enum


class Outcome(enum.StrEnum):
    """The kind of response that the caller got.

    `FAILED` is everything that is neither an answer nor a refusal with a code: a
    connection error, an invalid body, or no response until the caller's timeout.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
