"""The release notes between two versions of the catalog."""

import msgspec


class ConfigDelta(msgspec.Struct, frozen=True, tag="config-delta"):
    """The texts of the notes between two versions, in order.

    `digest` is that of the catalog after the last note.
    """

    control: str
    from_version: int
    to_version: int
    notes: tuple[str, ...]
    digest: str
