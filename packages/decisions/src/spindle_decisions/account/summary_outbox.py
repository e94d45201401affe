"""Queue of minute summaries that no control instance has on disk yet."""

from spindle_decisions.account.outbox_message import OutboxMessage
from spindle_decisions.account.pending_minute import PendingMinute

ACK_TIMEOUT_S = 2.0
MAX_PENDING_MINUTES = 360
MAX_PENDING_BYTES = 8 * 1024 * 1024
MAX_IN_FLIGHT_BYTES = 16 * 1024


class SummaryOutbox:
    """Keeps each minute until a control instance has it on disk, and selects what to send.

    Summaries go to one control instance at a time. If it does not acknowledge
    a summary within `ACK_TIMEOUT_S`, all unacknowledged ones go to the next. Until
    the first acknowledgement they go to all control instances, because a gap is
    only detected for a lifetime that at least one control instance knows of.

    At most `MAX_IN_FLIGHT_BYTES`, but always at least one summary, are in flight
    at a time, so that the backlog after a partition does not flood the network.
    Summaries with the fewest attempts go first, so that one that is refused
    everywhere does not block the others. Memory is bounded: beyond
    `MAX_PENDING_MINUTES` or `MAX_PENDING_BYTES` the oldest minute is dropped,
    counted in `given_up`, and appears on the page as a gap.
    """

    def __init__(self, controls: tuple[str, ...], first: int = 0) -> None:
        self.controls = controls
        self.current = first % len(controls)
        self.minutes: dict[int, PendingMinute] = {}
        self.pending_bytes = 0
        self.given_up = 0
        self.moves = 0
        self.has_ack = False

    def add(self, minute: int, revision: int, data: bytes) -> None:
        """Queue a summary; it replaces an earlier revision of the same minute."""
        self._remove(minute)
        self.minutes[minute] = PendingMinute(minute, revision, data)
        self.pending_bytes += len(data)
        while len(self.minutes) > 1 and self._exceeds_limits():
            self._remove(next(iter(self.minutes)))
            self.given_up += 1

    def take_due(self, now: float) -> list[OutboxMessage]:
        """Return the messages to send now, by fewest attempts, then oldest minute."""
        if self._has_ack_timeout(now):
            self._switch_control()
        in_flight_bytes = sum(
            len(item.data) for item in self.minutes.values() if item.sent_at is not None
        )
        messages: list[OutboxMessage] = []
        for item in self._unsent():
            if in_flight_bytes and in_flight_bytes + len(item.data) > MAX_IN_FLIGHT_BYTES:
                break
            item.sent_at = now
            item.attempts += 1
            in_flight_bytes += len(item.data)
            messages.extend(
                OutboxMessage(address, item.minute, item.data) for address in self._targets()
            )
        return messages

    def on_ack(self, minute: int, revision: int) -> None:
        """Remove a minute whose queued revision, or a later one, is on disk."""
        self.has_ack = True
        item = self.minutes.get(minute)
        if item is not None and revision >= item.revision:
            self._remove(minute)

    def _unsent(self) -> list[PendingMinute]:
        unsent = [item for item in self.minutes.values() if item.sent_at is None]
        return sorted(unsent, key=lambda item: (item.attempts, item.minute))

    def _targets(self) -> tuple[str, ...]:
        return (self.controls[self.current],) if self.has_ack else self.controls

    def _exceeds_limits(self) -> bool:
        return len(self.minutes) > MAX_PENDING_MINUTES or self.pending_bytes > MAX_PENDING_BYTES

    def _remove(self, minute: int) -> None:
        item = self.minutes.pop(minute, None)
        if item is not None:
            self.pending_bytes -= len(item.data)

    def _has_ack_timeout(self, now: float) -> bool:
        return any(
            item.sent_at is not None and now - item.sent_at >= ACK_TIMEOUT_S
            for item in self.minutes.values()
        )

    def _switch_control(self) -> None:
        self.current = (self.current + 1) % len(self.controls)
        self.moves += 1
        for item in self.minutes.values():
            item.sent_at = None
