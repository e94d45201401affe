"""Model of the platform's list of upstreams."""

import msgspec


class PlatformList(msgspec.Struct, frozen=True):
    """Names of the upstreams that the platform runs or is about to stop.

    The list may be outdated. So an upstream in `leaving` gets no more work, but one in
    `live` does not get work only because it is listed.
    """

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
