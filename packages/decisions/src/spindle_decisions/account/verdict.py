"""The verdict over a group's day."""

import enum


class Verdict(enum.StrEnum):
    """Whether the day went well.

    `INCOMPLETE` means that what is known is good and that something is not
    known; it is never rounded up to `GOOD`. `GOOD_SO_FAR` stands over a day
    that is not over: its last seconds are not counted yet, and an instance that
    was lost in them is not known to be lost.
    """

    GOOD = "good"
    GOOD_SO_FAR = "good so far"
    MISSED = "missed"
    INCOMPLETE = "incomplete"
    NO_QUERIES = "no queries"
