"""The last message of an instance during graceful shutdown."""

import msgspec


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """The instance has stopped serving; control instances drop it from the membership at once."""

    instance: str
    incarnation: int
