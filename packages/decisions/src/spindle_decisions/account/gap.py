"""A stretch of time for which counts are missing."""

import msgspec


class Gap(msgspec.Struct, frozen=True, order=True):
    """What one instance counted between two times is not known, and why.

    Both times are Unix milliseconds. A gap of no length says that counts are
    missing although the clock does not show how long.
    """

    instance: str
    from_ms: int
    to_ms: int
    reason: str
