"""A control instance with which a deployment begins."""

import msgspec


class BootstrapMember(msgspec.Struct, frozen=True):
    """A control instance under the identity of its data folder."""

    name: str
    folder_id: str
