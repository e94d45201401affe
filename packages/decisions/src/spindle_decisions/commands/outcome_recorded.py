"""The result of recording an outcome."""

import msgspec


class OutcomeRecorded(msgspec.Struct, frozen=True, tag="outcome-recorded"):
    """The outcome is kept; `first` is false when an earlier record had decided."""

    request_id: str
    first: bool
