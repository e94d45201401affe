"""The request for the configuration."""

import msgspec


class FetchConfig(msgspec.Struct, frozen=True, tag="fetch-config"):
    """An instance holds `have_version` and asks for what is newer.

    `full` asks for the whole catalog, as when a digest did not match.
    """

    instance: str
    mesh_address: str
    have_version: int
    full: bool = False
