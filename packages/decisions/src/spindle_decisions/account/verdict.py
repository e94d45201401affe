"""The verdict over a group's day."""

import enum


class Verdict(enum.StrEnum):
    """Whether the day went well.

    `INCOMPLETE` means that what is known is good and that something is not
    known; it is never rounded up to `GOOD`.
    """

    GOOD = "good"
    MISSED = "missed"
    INCOMPLETE = "incomplete"
    NO_QUERIES = "no queries"
