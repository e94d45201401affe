"""The kinds of errors in an answer."""

import enum


class AnswerErrorKind(enum.StrEnum):
    """Ways in which an answer violates a guarantee.

    `MIXED` is a row of another snapshot, `FOREIGN` a row of another query and
    `DUPLICATED` a row that occurs twice. The others are false coverage:
    `MISCOUNTED` if the covered and missing services are not those of the group,
    `UNCOVERED` if there are rows of a service that is not listed as covered,
    `EMPTY` if a service is listed as covered but has no row.
    """

    MIXED = "mixed"
    FOREIGN = "foreign"
    DUPLICATED = "duplicated"
    MISCOUNTED = "miscounted"
    UNCOVERED = "uncovered"
    EMPTY = "empty"
