"""What kind of member a change is about."""

import enum


class CatalogItemKind(enum.StrEnum):
    """The second word of a section of a release note."""

    DATA_CENTER = "data-center"
    GROUP = "group"
    SERVICE = "service"
    UPSTREAM = "upstream"
