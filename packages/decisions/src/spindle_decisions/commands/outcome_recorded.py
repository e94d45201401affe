"""The result of the command that records an outcome."""

import msgspec


class OutcomeRecorded(msgspec.Struct, frozen=True, tag="outcome-recorded"):
    """The command was applied; `first` is false if it had no effect on the claim."""

    request_id: str
    first: bool
