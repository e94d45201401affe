"""A time span for which the counts of an instance are missing."""

import msgspec


class Gap(msgspec.Struct, frozen=True, order=True):
    """A time span for which the counts of one instance are missing, and the reason.

    Both times are Unix milliseconds. In a gap of zero length counts are missing,
    but the wall clock does not show for how long, for example after it was set
    back.
    """

    instance: str
    from_ms: int
    to_ms: int
    reason: str
