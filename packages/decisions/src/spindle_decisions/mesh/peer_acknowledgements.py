"""Acknowledgements of the frames between this process and one peer."""

import math

from spindle_decisions.mesh import const


class PeerAcknowledgements:
    """Which frames a peer has acknowledged, and whether one is to be acknowledged to it.

    At most one frame is awaited at a time: the first that was sent after the last
    acknowledgement. An acknowledgement of a later frame covers it.
    """

    def __init__(self) -> None:
        self.received_seq = 0
        self.received_at = -math.inf
        self.ack_due_at = math.inf
        self.awaited_seq = 0
        self.awaited_since = math.inf
        # A receipt is only acknowledged by frames that the peer sends for another reason.
        self.awaits_receipt = False
        self.reconnects = 0

    def on_sent(self, now: float, seq: int, is_receipt: bool) -> None:
        """Record a frame to the peer; it contained the acknowledgement that was due."""
        self.ack_due_at = math.inf
        if self.awaited_since == math.inf or (self.awaits_receipt and not is_receipt):
            self.awaited_seq = seq
            self.awaited_since = now
            self.awaits_receipt = is_receipt

    def on_received(self, now: float, seq: int, is_receipt: bool) -> None:
        """Record a frame from the peer."""
        self.received_seq = seq
        self.received_at = now
        if not is_receipt:
            self.ack_due_at = min(self.ack_due_at, now + const.ACK_DELAY_S)

    def on_acknowledged(self, seq: int) -> None:
        """Record that the peer received the frame `seq` and thereby those before it."""
        if seq >= self.awaited_seq:
            self.awaited_since = math.inf
            self.reconnects = 0

    def is_unacknowledged(self, now: float) -> bool:
        """Return whether the connection to the peer lost what was sent on it.

        False for a peer that was never heard: it may be one that sends no acknowledgements.
        """
        if self.received_at == -math.inf:
            return False
        until = self.received_at if self.awaits_receipt else now
        return until - self.awaited_since > const.ACK_TIMEOUT_S

    def on_reconnected(self) -> None:
        """Await nothing until a frame is sent on the new connection."""
        self.awaited_since = math.inf
        self.reconnects += 1

    def restart_timeout(self, now: float) -> None:
        """Allow the whole timeout again from `now` on."""
        if self.awaited_since < math.inf:
            self.awaited_since = now
