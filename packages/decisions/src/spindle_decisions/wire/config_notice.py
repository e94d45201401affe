"""The notification that a new configuration version exists."""

import msgspec


class ConfigNotice(msgspec.Struct, frozen=True, tag="config-notice"):
    """The control instance `control` has applied this version."""

    control: str
    version: int
    digest: str
