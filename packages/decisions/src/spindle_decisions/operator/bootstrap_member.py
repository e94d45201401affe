"""A member of the first control membership of a deployment."""

import msgspec


class BootstrapMember(msgspec.Struct, frozen=True):
    """The name of a control instance and the id of its data folder."""

    name: str
    folder_id: str
