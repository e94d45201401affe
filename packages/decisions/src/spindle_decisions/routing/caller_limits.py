"""What a caller may send."""

import msgspec


class CallerLimits(msgspec.Struct, frozen=True):
    """Sizes in bytes and times in milliseconds that callers of routes are held to."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
