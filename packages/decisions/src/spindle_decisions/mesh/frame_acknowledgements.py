"""Acknowledgements of the frames between this process and all peers."""

import math

from spindle_decisions.mesh import const
from spindle_decisions.mesh.peer_acknowledgements import PeerAcknowledgements


class FrameAcknowledgements:
    """Finds the outgoing connections on which frames no longer arrive.

    Each process sends on connections that it opened itself, so a connection that went
    silent without a reset shows on neither side by what arrives: only the peer can say
    that it received something. Every frame has a number and acknowledges the last one that
    came from the peer. Peers are named by their addresses. Example:

        seq, ack = acknowledgements.next_frame("tcp://10.1.0.6:7380")
        acknowledgements.on_sent(now, "tcp://10.1.0.6:7380", seq, is_receipt=False)
        acknowledgements.on_received(now, "tcp://10.1.0.6:7380", 71, seq, is_receipt=False)
        for address in acknowledgements.unacknowledged(now): ...
        for address in acknowledgements.due_receipts(now): ...

    `first_seq` is random, so that no peer acknowledges a frame of an earlier life of this
    process as one of this life.
    """

    def __init__(self, first_seq: int) -> None:
        self.last_seq = first_seq
        self.peers: dict[str, PeerAcknowledgements] = {}
        self.checked_at = math.inf

    def next_frame(self, address: str) -> tuple[int, int]:
        """Return the number of the next frame, and that of the last frame of the peer."""
        self.last_seq += 1
        peer = self.peers.get(address)
        return self.last_seq, peer.received_seq if peer is not None else 0

    def on_sent(self, now: float, address: str, seq: int, is_receipt: bool) -> None:
        """Record a frame to a peer."""
        self._peer(address).on_sent(now, seq, is_receipt)

    def on_received(self, now: float, address: str, seq: int, ack: int, is_receipt: bool) -> None:
        """Record a frame from a peer and the number that it acknowledges."""
        peer = self._peer(address)
        peer.on_received(now, seq, is_receipt)
        if ack <= self.last_seq:
            peer.on_acknowledged(ack)

    def unacknowledged(self, now: float) -> list[str]:
        """Return the peers to reconnect to; call it every `CHECK_INTERVAL_S`."""
        if now - self.checked_at > const.MAX_CHECK_GAP_S:
            for peer in self.peers.values():
                peer.restart_timeout(now)
        self.checked_at = now
        return [name for name, peer in self.peers.items() if peer.is_unacknowledged(now)]

    def on_reconnected(self, address: str) -> int:
        """Record a new connection to a peer; return how many in series were not acknowledged."""
        peer = self._peer(address)
        peer.on_reconnected()
        return peer.reconnects

    def due_receipts(self, now: float) -> list[str]:
        """Return the peers to send an acknowledgement to, as no other frame went to them."""
        return [name for name, peer in self.peers.items() if now >= peer.ack_due_at]

    def remove(self, address: str) -> None:
        """Forget a peer."""
        self.peers.pop(address, None)

    def _peer(self, address: str) -> PeerAcknowledgements:
        return self.peers.setdefault(address, PeerAcknowledgements())
