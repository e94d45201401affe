"""Why a sub-request is sent."""

import enum


class AttemptKind(enum.StrEnum):
    """The cause of a sub-request; all but `PRIMARY` are added load."""

    PRIMARY = "primary"
    HEDGE = "hedge"
    RETRY = "retry"
    RESTART = "restart"
