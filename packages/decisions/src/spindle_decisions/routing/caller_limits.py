"""Limits on the requests of callers."""

import msgspec


class CallerLimits(msgspec.Struct, frozen=True):
    """Maximum sizes in bytes and timeouts in milliseconds for callers of routes."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
