"""The platform's list of instances."""

import msgspec


class PlatformList(msgspec.Struct, frozen=True):
    """Names of the upstreams that the platform runs or is about to stop.

    The list lags: it is a hint to stop sending work, never a reason to send any.
    """

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
