"""The failure of an HTTP exchange with an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """No complete answer arrived; `sent` is true if bytes of the request may have been sent."""

    sent: bool
    text: str
