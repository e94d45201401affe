"""The result of a claim that must not run."""

import msgspec


class ClaimRefused(msgspec.Struct, frozen=True, tag="claim-refused"):
    """The id is older than the retention, or was used with another body."""

    code: str
    text: str
