"""The result of a claim whose request must not run."""

import msgspec


class ClaimRefused(msgspec.Struct, frozen=True, tag="claim-refused"):
    """The claim is refused, such as for an id that has expired or was used with another body."""

    code: str
    text: str
