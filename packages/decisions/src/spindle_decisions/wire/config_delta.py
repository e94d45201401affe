"""Release notes that lead from one version to another."""

import msgspec


class ConfigDelta(msgspec.Struct, frozen=True, tag="config-delta"):
    """The texts of the notes between two versions, in order, and the digest after them."""

    control: str
    from_version: int
    to_version: int
    notes: tuple[str, ...]
    digest: str
