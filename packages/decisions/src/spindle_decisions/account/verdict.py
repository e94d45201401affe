"""Verdicts on a group's day."""

import enum


class Verdict(enum.StrEnum):
    """Whether a group met its target on a day.

    `INCOMPLETE` means that the known counts are good but some counts are
    missing; it never becomes `GOOD` by rounding. `GOOD_SO_FAR` is the best
    verdict for a day that is not over: its last seconds are not counted yet, and
    an instance that crashed during them has not been detected as lost.
    """

    GOOD = "good"
    GOOD_SO_FAR = "good so far"
    MISSED = "missed"
    INCOMPLETE = "incomplete"
    NO_QUERIES = "no queries"
