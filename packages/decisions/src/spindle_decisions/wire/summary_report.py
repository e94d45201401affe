"""Minute summaries on their way to a control instance."""

import msgspec


class SummaryReport(msgspec.Struct, frozen=True, tag="summary-report"):
    """One minute of one entry instance, encoded by the account package."""

    instance: str
    incarnation: int
    minute: int
    reply_to: str
    data: bytes
