"""One control instance in the agreed membership."""

import msgspec


class Member(msgspec.Struct, frozen=True, order=True):
    """A control instance under the identity of its data folder.

    `folder_id` is created with the data folder. A process whose folder was
    emptied has another one, so it can never vote as the member it was.
    """

    name: str
    folder_id: str
    voter: bool
