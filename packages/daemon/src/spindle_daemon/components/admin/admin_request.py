"""A verified request to the admin endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AdminRequest:
    """Method, path, last part of the path, query parameters and body of a request."""

    method: str
    path: str
    last_part: str
    query: dict[str, str]
    body: bytes
