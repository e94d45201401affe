"""A request to an upstream that got no whole answer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """No whole answer came; `sent` tells whether bytes of the request may have left."""

    sent: bool
    text: str
