"""How a sub-request failed."""

import enum


class FailureKind(enum.StrEnum):
    """How a sub-request without a usable answer failed.

    `NOT_SENT` means that no byte left this instance. `SHED`, `DRAINING`,
    `SNAPSHOT_GONE`, `TOO_LATE` and `REJECTED` are refusals in which the upstream
    stated that it ran nothing. `BROKEN` is everything else, after which the
    request may have run: a connection reset, a truncated body, an answer to
    another request, an unexpected status.
    """

    NOT_SENT = "unsent"
    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT_GONE = "snapshot-gone"
    TOO_LATE = "too-late"
    REJECTED = "rejected"
    BROKEN = "broken"


NOT_RUN_KINDS = frozenset(
    (
        FailureKind.NOT_SENT,
        FailureKind.SHED,
        FailureKind.DRAINING,
        FailureKind.SNAPSHOT_GONE,
        FailureKind.TOO_LATE,
        FailureKind.REJECTED,
    )
)
