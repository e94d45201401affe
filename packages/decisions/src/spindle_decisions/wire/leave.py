"""The last message of an instance during graceful shutdown."""

import msgspec


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """The instance has stopped serving; others may use its connection shares at once."""

    instance: str
    incarnation: int
