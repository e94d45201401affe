"""Reply of a control instance with the summaries that it stores."""

import msgspec


class SummariesReply(msgspec.Struct, frozen=True):
    """Encoded minute summaries of `hours` hours of one UTC day, starting at `hour`.

    `days` lists all days, as `YYYY-MM-DD`, for which the control instance stores
    summaries.
    """

    control: str
    day: str
    hour: int
    hours: int
    minutes: tuple[bytes, ...]
    days: tuple[str, ...] = ()
