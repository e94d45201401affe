"""The page of one day."""

import msgspec

from spindle_decisions.account.gap import Gap
from spindle_decisions.account.group_page import GroupPage
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.reporting_instance import ReportingInstance


class DayPage(msgspec.Struct, frozen=True):
    """The groups of the day, what the figures rest on, and what is missing.

    `problems` names in sentences what could not be asked or read. As long as
    there is a gap or a problem, no group is judged good.
    """

    window: PageWindow
    groups: tuple[GroupPage, ...]
    basis: tuple[ReportingInstance, ...]
    gaps: tuple[Gap, ...]
    problems: tuple[str, ...]

    def is_complete(self) -> bool:
        """Tell whether nothing is known to be missing."""
        return not self.gaps and not self.problems
