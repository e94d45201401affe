"""A count of a named item."""

import msgspec


class NamedCount(msgspec.Struct, frozen=True, array_like=True):
    """How often a named item, such as a refusal code or a service, was counted."""

    name: str
    count: int
