"""The reason for which a sub-request is sent."""

import enum


class AttemptKind(enum.StrEnum):
    """The reason for a sub-request; all but `PRIMARY` are extra load."""

    PRIMARY = "primary"
    HEDGE = "hedge"
    RETRY = "retry"
    RESTART = "restart"
