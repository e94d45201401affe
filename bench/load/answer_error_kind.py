"""What can be wrong with an answer."""

import enum


class AnswerErrorKind(enum.StrEnum):
    """Ways in which an answer breaks a promise.

    `MIXED` is a row of another snapshot, `FOREIGN` a row of another query,
    `DUPLICATED` a row that comes twice. The others are untrue coverage:
    `MISCOUNTED` when covered and missing services are not those of the group,
    `UNCOVERED` for rows of a service that is not told as covered, `EMPTY` for a
    service told as covered without a row.
    """

    MIXED = "mixed"
    FOREIGN = "foreign"
    DUPLICATED = "duplicated"
    MISCOUNTED = "miscounted"
    UNCOVERED = "uncovered"
    EMPTY = "empty"
