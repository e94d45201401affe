"""The last message of an instance that stops as planned."""

import msgspec


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """The instance has stopped serving; its shares may be used by others at once."""

    instance: str
    incarnation: int
