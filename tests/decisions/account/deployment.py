"""Simulated entry and control instances, with an independent count of the requests."""

import dataclasses

from spindle_decisions.account.day import day_of_minute
from spindle_decisions.account.day_page import DayPage
from spindle_decisions.account.minute_summary import MinuteSummary, decode_summary, encode_summary
from spindle_decisions.account.page_builder import build_page
from spindle_decisions.account.query_outcome import QueryOutcome
from spindle_decisions.account.summary_index import SummaryIndex
from spindle_decisions.account.summary_outbox import SummaryOutbox
from spindle_decisions.account.summary_set import SummarySet
from tests.decisions.account.common import counter, record, window

TICK_MS = 1000
CHECKPOINT_TICKS = 10
GROUP = "comptoir"


@dataclasses.dataclass
class ExpectedCounts:
    """Outcomes that callers received, counted without the code under test."""

    arrived: int = 0
    ends: list[tuple[QueryOutcome, int, int]] = dataclasses.field(default_factory=list)
    unfinished: int = 0

    def add(self, other: "ExpectedCounts") -> None:
        self.arrived += other.arrived
        self.ends += other.ends
        self.unfinished += other.unfinished

    def count(self, outcome: QueryOutcome) -> int:
        return sum(1 for item, _, _ in self.ends if item is outcome)


class SimulatedControl:
    """A control instance that stores newer summaries and can be isolated."""

    def __init__(self) -> None:
        self.index = SummaryIndex()
        self.disk: list[bytes] = []
        self.is_cut_off = False

    def write(self, data: bytes) -> int:
        summary = decode_summary(data)
        day = day_of_minute(summary.minute)
        if not self.index.has_day(day):
            self.index.load_day(day, self.disk)
        if self.index.is_newer(summary):
            self.disk.append(data)
            self.index.add(summary)
        return summary.revision

    def restart(self) -> None:
        self.index = SummaryIndex()


class SimulatedEntry:
    """One incarnation of an entry instance."""

    def __init__(self, name: str, incarnation: int, now_ms: int) -> None:
        self.account = counter(name, incarnation, now_ms)
        self.outbox = SummaryOutbox(("0", "1"), incarnation)
        self.ticks = 0
        self.in_flight = 0
        self.reported = False
        self.expected = ExpectedCounts()

    def queue(self, summary: MinuteSummary) -> None:
        self.outbox.add(summary.minute, summary.revision, encode_summary(summary))


@dataclasses.dataclass
class DelayedAck:
    """An acknowledgement that arrives at `due_ms`."""

    due_ms: int
    entry: SimulatedEntry
    minute: int
    revision: int


class Deployment:
    """Runs the accounting of several entry instances; time advances only in its methods.

    `expected` sums over the incarnations that ended. One that ended before any
    control instance received a summary of it is excluded, because no page can
    know of it.
    """

    def __init__(self, names: tuple[str, ...]) -> None:
        self.now_ms = 0
        self.controls = [SimulatedControl(), SimulatedControl()]
        self.expected = ExpectedCounts()
        self.incarnations = 0
        self.entries: dict[str, SimulatedEntry] = {}
        self.drop_messages = 0
        self.drop_acks = 0
        self.ack_delay_ms = 0
        self.delayed_acks: list[DelayedAck] = []
        self.had_faults = False
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        self.incarnations += 1
        entry = self.entries[name] = SimulatedEntry(name, self.incarnations, self.now_ms)
        entry.queue(entry.account.checkpoint())
        self._deliver(entry)

    def arrive(self, name: str) -> None:
        entry = self.entries[name]
        entry.account.record_arrival(GROUP)
        entry.in_flight += 1
        entry.expected.arrived += 1

    def finish(self, name: str, outcome: QueryOutcome, latency_ms: int, covered: int) -> None:
        entry = self.entries[name]
        if not entry.in_flight:
            return
        entry.in_flight -= 1
        entry.account.record_finished(record(outcome, latency_ms, covered, code="overloaded"))
        effective = outcome
        if outcome is QueryOutcome.ANSWERED and covered < 4:
            effective = QueryOutcome.PARTIAL
        entry.expected.ends.append((effective, latency_ms, covered))

    def advance(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now_ms += TICK_MS
            for entry in list(self.entries.values()):
                self._tick(entry)

    def crash(self, name: str) -> None:
        entry = self.entries.pop(name)
        entry.expected.unfinished = entry.in_flight
        if entry.reported:
            self.expected.add(entry.expected)
        self.had_faults = True

    def stop(self, name: str) -> None:
        entry = self.entries.pop(name)
        entry.expected.unfinished = entry.in_flight
        self._tick(entry)
        entry.queue(entry.account.close(self.now_ms))
        for _ in range(20):
            self.now_ms += TICK_MS
            self._deliver(entry)
            for other in list(self.entries.values()):
                self._tick(other)
        if entry.reported:
            self.expected.add(entry.expected)

    def page(self) -> DayPage:
        summaries = SummarySet()
        problems = []
        for index, control in enumerate(self.controls):
            if control.is_cut_off:
                problems.append(f"control {index} could not be asked")
            else:
                summaries.add_all(control.disk)
        return build_page(
            window(asked_ms=self.now_ms),
            summaries,
            tuple(problems),
            frozenset(self.entries),
        )

    def _tick(self, entry: SimulatedEntry) -> None:
        entry.ticks += 1
        closed = entry.account.on_tick(self.now_ms)
        if closed is not None:
            entry.queue(closed)
        if closed is not None or entry.ticks % CHECKPOINT_TICKS == 0:
            entry.queue(entry.account.checkpoint())
        self._deliver(entry)

    def _deliver(self, entry: SimulatedEntry) -> None:
        for ack in self.delayed_acks:
            if ack.due_ms <= self.now_ms:
                ack.entry.outbox.on_ack(ack.minute, ack.revision)
        self.delayed_acks = [ack for ack in self.delayed_acks if ack.due_ms > self.now_ms]
        for message in entry.outbox.take_due(self.now_ms / 1000):
            control = self.controls[int(message.address)]
            if self.drop_messages or control.is_cut_off:
                self.drop_messages = max(0, self.drop_messages - 1)
                continue
            revision = control.write(message.data)
            control.write(message.data)
            entry.reported = True
            if self.drop_acks:
                self.drop_acks -= 1
                continue
            due_ms = self.now_ms + self.ack_delay_ms
            self.delayed_acks.append(DelayedAck(due_ms, entry, message.minute, revision))
