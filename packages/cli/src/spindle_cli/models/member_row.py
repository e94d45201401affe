"""A member of the agreement."""

import msgspec


class MemberRow(msgspec.Struct, frozen=True):
    """A control instance under the identity of its data folder."""

    name: str
    folder_id: str
    voter: bool
