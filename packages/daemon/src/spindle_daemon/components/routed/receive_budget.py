"""Limit of the bytes of answers that an instance holds at a time."""

from spindle_daemon.components.routed.reply_too_long_error import ReplyTooLongError


class ReceiveBudget:
    """Bytes of all answers that are being read, and of long ones until they are dropped.

    Upstreams in trouble may all send without end at the same time; one limit for each
    answer would not keep the instance within its memory.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def acquire(self, count: int) -> None:
        """Count bytes as held; raise `ReplyTooLongError` if there are too many."""
        if self.held_bytes + count > self.limit_bytes:
            raise ReplyTooLongError(
                "bytes of all answers", self.held_bytes + count, self.limit_bytes
            )
        self.held_bytes += count

    def release(self, count: int) -> None:
        """Count bytes as no longer held."""
        self.held_bytes -= count
