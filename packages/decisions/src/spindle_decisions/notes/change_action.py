"""The kinds of change to a catalog item."""

import enum


class ChangeAction(enum.StrEnum):
    """What a change does to a catalog item: the first word of a section header."""

    ADDED = "added"
    CHANGED = "changed"
    WITHDRAWN = "withdrawn"
