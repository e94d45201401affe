"""A change of a link asked for by the control side."""

import msgspec


class LinkChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is to change on a link; a field that is left out stays as it is.

    `link` names one link of the process; empty means all. Forward is towards
    the target, backward is from it. A cut direction holds its bytes, ends of
    stream and connection attempts silently, and delivers them when the cut ends,
    as TCP does after a partition; both directions cut is a frozen peer.
    `truncate_*_after` lets that many more bytes of each connection pass and then
    closes it; -1 ends this. `refuse` closes the listening socket. `reset` resets
    the open connections once.
    """

    link: str = ""
    delay_ms: float | None = None
    cut_forward: bool | None = None
    cut_backward: bool | None = None
    truncate_forward_after: int | None = None
    truncate_backward_after: int | None = None
    refuse: bool | None = None
    reset: bool = False
