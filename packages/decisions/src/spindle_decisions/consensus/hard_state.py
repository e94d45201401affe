"""The part of the state that must be on disk before any reply that rests on it."""

import msgspec


class HardState(msgspec.Struct, frozen=True):
    """Current term and the name of the member voted for in it, empty for none."""

    term: int = 0
    vote: str = ""
