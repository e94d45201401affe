"""What a page rests on, for one instance."""

import msgspec

from spindle_decisions.account.span import Span


class ReportingInstance(msgspec.Struct, frozen=True):
    """The stretches of the day for which an instance handed its counts over."""

    instance: str
    data_center: str
    incarnations: int
    minutes: int
    spans: tuple[Span, ...]
