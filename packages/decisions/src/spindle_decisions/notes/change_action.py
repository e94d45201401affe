"""What a change does to a member of the catalog."""

import enum


class ChangeAction(enum.StrEnum):
    """The first word of a section of a release note."""

    ADDED = "added"
    CHANGED = "changed"
    WITHDRAWN = "withdrawn"
