"""An upstream's answer as it came."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RawReply:
    """Status, headers in order and the whole body of an answer.

    `values` has the headers by lower-case name; a name that came twice has its last
    value. `keep` says whether the connection may carry another request.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    header_values: dict[str, str]
    body: bytes
    keep_alive: bool
