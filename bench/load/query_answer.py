"""An answer to a caller."""

import msgspec

from bench.load.answer_row import AnswerRow


class QueryAnswer(msgspec.Struct, frozen=True):
    """Rows of one snapshot, with the covered and the missing services."""

    request_id: str
    snapshot: str
    services_total: int
    covered: list[str]
    missing: list[str]
    rows: list[AnswerRow]
