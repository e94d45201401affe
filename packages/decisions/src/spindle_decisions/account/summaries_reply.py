"""The summaries that one control instance holds."""

import msgspec


class SummariesReply(msgspec.Struct, frozen=True):
    """Encoded minute summaries of some hours of one day, in UTC, from `hour` on.

    `days` lists the days, as `YYYY-MM-DD`, of which the control instance holds
    anything at all.
    """

    control: str
    day: str
    hour: int
    hours: int
    minutes: tuple[bytes, ...]
    days: tuple[str, ...] = ()
