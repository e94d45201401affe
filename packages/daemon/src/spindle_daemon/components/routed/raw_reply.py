"""Answer of an upstream as received."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RawReply:
    """Status, headers in order and the whole body of an answer.

    `header_values` maps lower-case names to values; of a repeated header it has the
    last value. `keep_alive` is true if the connection may carry another request.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    header_values: dict[str, str]
    body: bytes
    keep_alive: bool
