"""State that must be on disk before a reply that depends on it is sent."""

import msgspec


class HardState(msgspec.Struct, frozen=True):
    """Current term and the member voted for in it; `vote` is empty without a vote."""

    term: int = 0
    vote: str = ""
