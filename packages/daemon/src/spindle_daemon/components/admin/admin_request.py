"""A checked request to the admin endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AdminRequest:
    """Method, path, the value of the last path part, query values and body."""

    method: str
    path: str
    last_part: str
    query: dict[str, str]
    body: bytes
