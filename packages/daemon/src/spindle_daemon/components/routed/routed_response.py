"""The answer to a routed request."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoutedResponse:
    """Status, headers and whole body as they go to the caller."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
