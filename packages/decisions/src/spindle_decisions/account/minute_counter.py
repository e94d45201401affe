"""Request counts of one entry instance in the current minute."""

from collections.abc import Callable

from spindle_decisions.account.group_counter import GroupCounter
from spindle_decisions.account.minute_summary import MS_PER_MINUTE, MinuteSummary
from spindle_decisions.account.query_record import QueryRecord
from spindle_decisions.account.span import Span

MAX_GROUPS = 256
SUSPENSION_THRESHOLD_MS = 5_000
UNKNOWN_GROUP = "unknown"


class MinuteCounter:
    """Counts the requests of one process per wall clock minute.

    `on_tick` is called about once a second. A minute closes when the wall clock
    has left it; a clock that was set back extends the current minute instead of
    reopening an earlier one. More than `SUSPENSION_THRESHOLD_MS` between two
    ticks mean that the process was suspended, and the time between them is
    left out of the spans. Every minute has a summary, even without requests, so
    that a missing summary can be distinguished from a minute without traffic.

    `is_known_group` returns whether the catalog contains a group. All other
    names are counted together as `UNKNOWN_GROUP`, so that callers cannot fill
    the account with invented names. A name stays known for the lifetime of the
    process.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        data_center: str,
        is_known_group: Callable[[str], bool],
        wall_ms: int,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.data_center = data_center
        self.is_known_group = is_known_group
        self.known_groups: set[str] = set()
        self.in_flight: dict[str, int] = {}
        self.started_ms = wall_ms
        self.last_tick_ms = wall_ms
        self.spans: list[Span] = []
        self._open_minute(wall_ms, wall_ms)

    def record_arrival(self, group: str) -> None:
        """Count the arrival of a request."""
        name = self._resolve(group)
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self._counter(name).arrived += 1

    def record_finished(self, record: QueryRecord) -> None:
        """Count the outcome of a finished request."""
        name = self._resolve(record.group)
        self.in_flight[name] = self.in_flight.get(name, 0) - 1
        self._counter(name).record_finished(record)

    def record_probe(self, group: str) -> None:
        """Count a sub-request sent only to check the health of an upstream."""
        self._counter(self._resolve(group)).probes += 1

    def on_tick(self, wall_ms: int) -> MinuteSummary | None:
        """Advance to the time `wall_ms`; return the summary of the minute that ended, if any."""
        suspended = wall_ms - self.last_tick_ms > SUSPENSION_THRESHOLD_MS
        if not suspended:
            self._extend_span(wall_ms)
        if wall_ms >= (self.minute + 1) * MS_PER_MINUTE:
            summary = self._summary(final=True)
            end_ms = (self.minute + 1) * MS_PER_MINUTE
            self._open_minute(wall_ms, wall_ms if suspended else end_ms)
            return summary
        if suspended:
            self.spans.append(Span(wall_ms, wall_ms))
        self.last_tick_ms = max(self.last_tick_ms, wall_ms)
        return None

    def checkpoint(self) -> MinuteSummary:
        """Return the counts of the current minute so far."""
        return self._summary(final=False)

    def close(self, wall_ms: int) -> MinuteSummary:
        """Return the last summary, of the current minute, at a graceful shutdown."""
        self._extend_span(wall_ms)
        return self._summary(final=True, last=True)

    def _open_minute(self, wall_ms: int, from_ms: int) -> None:
        self.minute = wall_ms // MS_PER_MINUTE
        self.last_tick_ms = wall_ms
        self.revision = 0
        self.spans = [Span(from_ms, wall_ms)]
        self.groups: dict[str, GroupCounter] = {}

    def _extend_span(self, wall_ms: int) -> None:
        end = min(wall_ms, (self.minute + 1) * MS_PER_MINUTE)
        span = self.spans[-1]
        self.spans[-1] = Span(span.from_ms, max(span.to_ms, end))

    def _summary(self, final: bool, last: bool = False) -> MinuteSummary:
        self.revision += 1
        groups_in_flight = {name for name, count in self.in_flight.items() if count}
        names = sorted(groups_in_flight.union(self.groups))
        groups = [self._counter(name).summary(self.in_flight.get(name, 0)) for name in names]
        return MinuteSummary(
            instance=self.instance,
            incarnation=self.incarnation,
            data_center=self.data_center,
            minute=self.minute,
            revision=self.revision,
            started_ms=self.started_ms,
            spans=tuple(self.spans),
            final=final,
            last=last,
            groups=tuple(groups),
        )

    def _counter(self, name: str) -> GroupCounter:
        counter = self.groups.get(name)
        if counter is None:
            counter = self.groups[name] = GroupCounter(name)
        return counter

    def _resolve(self, group: str) -> str:
        if group in self.known_groups:
            return group
        if len(self.known_groups) < MAX_GROUPS and self.is_known_group(group):
            self.known_groups.add(group)
            return group
        return UNKNOWN_GROUP
