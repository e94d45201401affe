"""News about requests that crash upstreams."""

import msgspec

from spindle_decisions.wire.request_breaks import RequestBreaks


class QuarantineUpdate(msgspec.Struct, frozen=True, tag="quarantine-update"):
    """Sent by entry instances to control instances, which relay what is new to them.

    `relayed` means that it comes from a control instance; another control instance then
    passes it on to entry instances only.
    """

    items: tuple[RequestBreaks, ...]
    relayed: bool = False
