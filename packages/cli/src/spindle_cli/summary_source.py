"""Fetching of the minute summaries of a day from all control instances."""

import datetime
import urllib.parse

from spindle_cli import const
from spindle_cli.address import Address
from spindle_cli.models.member_row import MemberRow
from spindle_cli.operator_api import OperatorApi
from spindle_cli.processes import Processes
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.summaries_reply import SummariesReply
from spindle_decisions.account.summary_set import SummarySet
from spindle_decisions.exceptions import SpindleError

MS_PER_HOUR = 3_600_000
MS_PER_S = 1000


class SummarySource:
    """Asks every control instance, hour by hour, and names those that did not answer.

    The hour before the day is fetched too: it tells which runs were under way
    at midnight.
    """

    def __init__(self, api: OperatorApi, processes: Processes) -> None:
        self.api = api
        self.processes = processes
        self.summaries = SummarySet()
        self.problems: list[str] = list(processes.problems)

    def fetch(self, window: PageWindow) -> None:
        """Fill `summaries` and `problems`."""
        answered: set[str] = set()
        failed: dict[Address, str] = {}
        requests = [
            (address, path) for path in _paths(window) for address in self.processes.controls
        ]
        for answer in self.api.ask_each(requests, SummariesReply):
            if answer.value is None:
                failed.setdefault(answer.address, str(answer.error))
                continue
            answered.add(answer.value.control)
            self.summaries.add_all(answer.value.minutes)
        for address, error in failed.items():
            name = self.processes.name_of(address)
            self.problems.append(f"summaries of {name} are missing: {error}")
        self._name_unasked(answered)

    def _name_unasked(self, answered: set[str]) -> None:
        try:
            members = self.api.ask_any("GET", const.PATH_MEMBERS, tuple[MemberRow, ...])
        except SpindleError as err:
            self.problems.append(f"the list of control instances is missing: {err}")
            return
        failed = {item.instance for item in self.processes.instances if item.role == "control"}
        for member in members:
            if member.name not in answered | failed:
                self.problems.append(f"control instance {member.name} was not asked: no address")


def _paths(window: PageWindow) -> list[str]:
    first = (window.from_ms - MS_PER_HOUR) // MS_PER_HOUR
    last = (window.horizon_ms() - 1) // MS_PER_HOUR
    return [_path(hour * MS_PER_HOUR) for hour in range(first, last + 1)]


def _path(wall_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(wall_ms / MS_PER_S, datetime.UTC)
    query = urllib.parse.urlencode({"day": moment.date().isoformat(), "hour": moment.hour})
    return f"{const.PATH_SUMMARIES}?{query}"
