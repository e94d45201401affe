"""One control instance in the membership."""

import msgspec


class Member(msgspec.Struct, frozen=True, order=True):
    """A control instance, identified by its name and its data folder.

    `folder_id` is created with the data folder. A process whose folder was
    emptied gets a new id, so it cannot vote as the previous member.
    """

    name: str
    folder_id: str
    voter: bool
