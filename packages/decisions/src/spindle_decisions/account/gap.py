"""A time span for which the counts of an instance are missing."""

import msgspec


class Gap(msgspec.Struct, frozen=True, order=True):
    """A time span for which the counts of one instance are missing, and the reason.

    Both times are Unix milliseconds. A gap of zero length means that counts are
    missing, but that the wall clock does not show for how long, for example
    because it was set back.
    """

    instance: str
    from_ms: int
    to_ms: int
    reason: str
