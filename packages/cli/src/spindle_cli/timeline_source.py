"""Fetching of the timelines of all processes."""

import dataclasses
import urllib.parse

from spindle_cli import const
from spindle_cli.address import Address
from spindle_cli.operator_api import OperatorApi
from spindle_cli.processes import DiscoveredProcesses
from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.event_filter import EventFilter
from spindle_decisions.timeline.event_merge import merge_events
from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.timeline.stamp_text import format_stamp
from spindle_decisions.timeline.timeline_reply import TimelineReply


@dataclasses.dataclass(frozen=True)
class TimelineBatch:
    """Merged events, and sentences that say why some may be missing."""

    events: tuple[Event, ...]
    problems: tuple[str, ...]


class TimelineSource:
    """Fetches the events of all processes, and on later calls only new ones."""

    def __init__(
        self, api: OperatorApi, processes: DiscoveredProcesses, event_filter: EventFilter
    ) -> None:
        self.api = api
        self.processes = processes
        self.event_filter = event_filter
        self.last_stamps: dict[Address, HlcStamp] = {}

    def fetch(self) -> TimelineBatch:
        """Return the matching events since the last call, causes before effects."""
        requests = [(address, self._path(address)) for address in self.processes.addresses()]
        replies: list[TimelineReply] = []
        problems: list[str] = list(self.processes.problems)
        for answer in self.api.request_each(requests, TimelineReply):
            if answer.value is None:
                name = self.processes.name_of(answer.address)
                problems.append(f"{name} could not be queried: {answer.error}")
                continue
            replies.append(answer.value)
            problems.extend(self._dropped_events_problem(answer.value))
            if answer.value.events:
                self.last_stamps[answer.address] = answer.value.events[-1].stamp
        return TimelineBatch(merge_events(replies), tuple(dict.fromkeys(problems)))

    def _dropped_events_problem(self, reply: TimelineReply) -> list[str]:
        if not reply.dropped or self.event_filter.after.wall_ms >= reply.complete_from_ms:
            return []
        return [f"{reply.instance} no longer holds its {reply.dropped} oldest events"]

    def _path(self, address: Address) -> str:
        after = self.last_stamps.get(address, self.event_filter.after)
        arguments = {
            "since": format_stamp(after) if after.wall_ms else "",
            "request": self.event_filter.request_id,
            "note": str(self.event_filter.note) if self.event_filter.note else "",
            "upstream": self.event_filter.upstream,
        }
        query = urllib.parse.urlencode({key: value for key, value in arguments.items() if value})
        return f"{const.PATH_TIMELINE}?{query}" if query else const.PATH_TIMELINE
