"""Response to a routed request."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoutedResponse:
    """Status, headers and complete body that the caller gets."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
