"""The page of one day: all groups, and which data is missing."""

import msgspec

from spindle_decisions.account.gap import Gap
from spindle_decisions.account.group_page import GroupPage
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.reporting_instance import ReportingInstance


class DayPage(msgspec.Struct, frozen=True):
    """Figures of all groups of a day, the instances that reported, and missing data.

    `basis` lists the instances whose counts the figures include. `problems`
    describes sources that could not be queried or read. While there is a gap or
    a problem, no group gets a good verdict.
    """

    window: PageWindow
    groups: tuple[GroupPage, ...]
    basis: tuple[ReportingInstance, ...]
    gaps: tuple[Gap, ...]
    problems: tuple[str, ...]

    def is_complete(self) -> bool:
        """Return whether no gap and no problem is known."""
        return not self.gaps and not self.problems
