"""Model of the platform's list of upstreams."""

import msgspec


class PlatformList(msgspec.Struct, frozen=True):
    """Names of the upstreams that the platform runs or is about to stop.

    The list may be outdated: an upstream in `leaving` gets no more work, but being in
    `live` is no reason to send work to an upstream.
    """

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
