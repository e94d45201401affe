"""The revisions written of one day."""

import dataclasses


@dataclasses.dataclass
class DayLedger:
    """The highest revision by instance, incarnation and minute, and the bytes written."""

    revisions: dict[tuple[str, int, int], int] = dataclasses.field(default_factory=dict)
    bytes: int = 0
