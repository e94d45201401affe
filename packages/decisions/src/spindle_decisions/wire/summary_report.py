"""A minute summary, sent to a control instance."""

import msgspec


class SummaryReport(msgspec.Struct, frozen=True, tag="summary-report"):
    """The summary of one minute of one entry instance, encoded by the account package."""

    instance: str
    incarnation: int
    minute: int
    reply_to: str
    data: bytes
