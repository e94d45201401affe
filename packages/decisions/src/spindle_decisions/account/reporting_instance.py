"""An entry instance whose counts are part of a page."""

import msgspec

from spindle_decisions.account.span import Span


class ReportingInstance(msgspec.Struct, frozen=True):
    """The time spans of the day for which an instance delivered its counts."""

    instance: str
    data_center: str
    incarnations: int
    minutes: int
    spans: tuple[Span, ...]
