"""The kinds of catalog item that a release note can change."""

import enum


class CatalogItemKind(enum.StrEnum):
    """The kind of a catalog item: the second word of a section header."""

    DATA_CENTER = "data-center"
    GROUP = "group"
    SERVICE = "service"
    UPSTREAM = "upstream"
