"""How a pump ended."""

import enum


class PumpResult(enum.Enum):
    """Why a pump moves no more bytes."""

    ENDED = enum.auto()
    TRUNCATED = enum.auto()
    FAILED = enum.auto()
