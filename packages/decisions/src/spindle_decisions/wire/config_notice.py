"""The push that a new configuration version exists."""

import msgspec


class ConfigNotice(msgspec.Struct, frozen=True, tag="config-notice"):
    """A control instance applied this version."""

    control: str
    version: int
    digest: str
