"""The request for a newer configuration."""

import msgspec


class FetchConfig(msgspec.Struct, frozen=True, tag="fetch-config"):
    """Request the configuration after `have_version`.

    `full` requests the whole catalog, such as after a digest that did not match.
    """

    instance: str
    mesh_address: str
    have_version: int
    full: bool = False
