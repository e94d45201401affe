"""What kind of member a change is about."""

import enum


class Subject(enum.StrEnum):
    """The second word of a section of a release note."""

    DATA_CENTER = "data-center"
    GROUP = "group"
    SERVICE = "service"
    UPSTREAM = "upstream"
