"""The kinds of membership changes."""

import enum


class MembershipChangeKind(enum.StrEnum):
    """Change that an operator or the automatic repair may request for one member."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    REPLACE = "replace"
