"""A change of a link requested through the control API."""

import msgspec


class LinkChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults of a link to change; a field that is left out is not changed.

    `link` names one link of the process; empty means all. Forward is towards the
    target, backward is from it. A cut direction holds bytes, ends of stream and
    connection attempts without an error and delivers them when the cut ends, as
    TCP does after a partition; cutting both directions simulates a suspended
    peer. `truncate_*_after` forwards that many more bytes of each connection and
    then closes it; -1 ends this. `refuse` closes the listening socket. `reset`
    resets the open connections once. `silence` drops whatever the connections that are open
    now still carry, ends of stream included, without an error; new connections work.
    """

    link: str = ""
    delay_ms: float | None = None
    cut_forward: bool | None = None
    cut_backward: bool | None = None
    truncate_forward_after: int | None = None
    truncate_backward_after: int | None = None
    refuse: bool | None = None
    reset: bool = False
    silence: bool = False
