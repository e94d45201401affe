"""Request ids of callers."""

import random
import uuid

_RANDOM_BITS = 74
_RANDOM_LOW_BITS = 62
_TIME_SHIFT_BITS = 80
_VERSION = 7 << 76
_VARIANT = 2 << 62


def create_request_id(wall_ms: int, rng: random.Random) -> str:
    """Return a UUID of version 7 for a time in Unix milliseconds."""
    bits = rng.getrandbits(_RANDOM_BITS)
    high = bits >> _RANDOM_LOW_BITS << 64
    low = bits & ((1 << _RANDOM_LOW_BITS) - 1)
    value = wall_ms << _TIME_SHIFT_BITS | _VERSION | high | _VARIANT | low
    return str(uuid.UUID(int=value))
