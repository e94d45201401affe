"""The forms of the page."""

import enum


class PageFormat(enum.StrEnum):
    """How the page is written."""

    TEXT = "text"
    JSON = "json"
    HTML = "html"
