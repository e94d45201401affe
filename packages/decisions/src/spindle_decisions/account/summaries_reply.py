"""The summaries that one control instance holds."""

import msgspec


class SummariesReply(msgspec.Struct, frozen=True):
    """Encoded minute summaries of one hour of one day, in UTC.

    `days` lists the days, as `YYYY-MM-DD`, of which the control instance holds
    anything at all.
    """

    control: str
    day: str
    hour: int
    minutes: tuple[bytes, ...]
    days: tuple[str, ...] = ()
