"""The kinds of membership changes."""

import enum


class MembershipChangeKind(enum.StrEnum):
    """What an operator, or the repair, may ask for; one member at a time."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    REPLACE = "replace"
