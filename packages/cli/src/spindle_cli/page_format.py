"""The formats of the page."""

import enum


class PageFormat(enum.StrEnum):
    """The output format of the page."""

    TEXT = "text"
    JSON = "json"
    HTML = "html"
