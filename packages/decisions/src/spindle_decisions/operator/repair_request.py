"""The request to explain or to repair the control membership."""

import msgspec


class RepairRequest(msgspec.Struct, frozen=True):
    """`action` is `explain` or `force-membership`.

    `members` names the control instances that shall remain, and `reason` is
    kept on the time line.
    """

    action: str
    members: tuple[str, ...] = ()
    reason: str = ""
