"""The result of a pump."""

import enum


class PumpResult(enum.Enum):
    """The reason why a pump stopped."""

    ENDED = enum.auto()
    TRUNCATED = enum.auto()
    FAILED = enum.auto()
