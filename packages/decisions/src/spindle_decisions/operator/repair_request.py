"""The request to explain or to repair the control membership."""

import msgspec


class RepairRequest(msgspec.Struct, frozen=True):
    """Explain the control membership, or force a new one after the loss of the majority.

    `action` is `explain` or `force-membership`. `members` names the control
    instances that remain; `reason` is recorded in the timeline.
    """

    action: str
    members: tuple[str, ...] = ()
    reason: str = ""
