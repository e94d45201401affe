"""Fetching of the minute summaries of a day from all control instances."""

import datetime
import urllib.parse

from spindle_cli import const
from spindle_cli.address import Address
from spindle_cli.operator_api import OperatorApi
from spindle_cli.processes import DiscoveredProcesses
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.summaries_reply import SummariesReply
from spindle_decisions.account.summary_set import SummarySet
from spindle_decisions.consensus.member import Member
from spindle_decisions.exceptions import SpindleError

MS_PER_HOUR = 3_600_000
S_PER_HOUR = 3600
HOURS_PER_DAY = 24
HOURS_PER_REQUEST = 6


class SummarySource:
    """Fetches the summaries of every control instance and reports those that did not answer.

    Each request covers a few hours. The hour before the day is fetched too, because it
    shows which processes were already running at midnight.
    """

    def __init__(self, api: OperatorApi, processes: DiscoveredProcesses) -> None:
        self.api = api
        self.processes = processes
        self.summaries = SummarySet()
        self.problems: list[str] = []

    def fetch(self, window: PageWindow) -> None:
        """Fetch the summaries of a day into `summaries`; describe what is missing in `problems`."""
        answered: set[str] = set()
        failed: dict[Address, str] = {}
        requests = [
            (address, path) for path in request_paths(window) for address in self.processes.controls
        ]
        for answer in self.api.request_each(requests, SummariesReply):
            if answer.value is None:
                failed.setdefault(answer.address, str(answer.error))
                continue
            answered.add(answer.value.control)
            self.summaries.add_all(answer.value.minutes)
        for address, error in failed.items():
            name = self.processes.name_of(address)
            self.problems.append(f"summaries of {name} are missing: {error}")
        self._add_missing_instance_lists(failed)
        self._add_unreached_members(answered, failed)

    def _add_missing_instance_lists(self, failed: dict[Address, str]) -> None:
        for answer in self.processes.failed:
            if answer.address not in failed:
                self.problems.append(f"the instances that {answer.address} knows are missing")

    def _add_unreached_members(self, answered: set[str], failed: dict[Address, str]) -> None:
        """Report the member control instances that no queried address belongs to.

        A failed address that belongs to no known instance may be the address of such
        a member, and is reported already. So the members are reported only if there
        are more of them than of these addresses.
        """
        try:
            members = self.api.request_any("GET", const.PATH_MEMBERS, tuple[Member, ...])
        except SpindleError as err:
            self.problems.append(f"the list of control instances is missing: {err}")
            return
        addresses = {
            item.instance: Address(item.admin_host, item.admin_port)
            for item in self.processes.instances
        }
        unidentified = set(failed) - set(addresses.values())
        unreached = [
            member.name
            for member in members
            if member.name not in answered and addresses.get(member.name) not in failed
        ]
        if len(unreached) > len(unidentified):
            names = ", ".join(unreached)
            self.problems.append(f"no address leads to all of these control instances: {names}")


def request_paths(window: PageWindow) -> list[str]:
    """Return the request paths for the day and the hour before; none spans midnight UTC."""
    hour = (window.from_ms - MS_PER_HOUR) // MS_PER_HOUR
    end = -(-window.data_end_ms() // MS_PER_HOUR)
    paths: list[str] = []
    while hour < end:
        hours = min(HOURS_PER_REQUEST, HOURS_PER_DAY - hour % HOURS_PER_DAY, end - hour)
        paths.append(_path(hour, hours))
        hour += hours
    return paths


def _path(hour: int, hours: int) -> str:
    day = datetime.datetime.fromtimestamp(hour * S_PER_HOUR, datetime.UTC).date()
    query = {"day": day.isoformat(), "hour": hour % HOURS_PER_DAY, "hours": hours}
    return f"{const.PATH_SUMMARIES}?{urllib.parse.urlencode(query)}"
