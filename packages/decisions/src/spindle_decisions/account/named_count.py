"""A count with a name."""

import msgspec


class NamedCount(msgspec.Struct, frozen=True, array_like=True):
    """How often something named, such as a code or a service, was counted."""

    name: str
    count: int
