"""Signed messages between processes over one inbox and one outgoing socket per peer."""

import logging
import random
import time
from collections.abc import Callable
from typing import Any, TypeVar

import gevent
import pynng

from spindle_daemon.helpers.periodic import run_periodically
from spindle_daemon.mesh import const
from spindle_daemon.mesh.peer import PeerLink
from spindle_daemon.mesh.receiver import receive_forever
from spindle_decisions.exceptions import AuthError, FrameError
from spindle_decisions.mesh.const import CHECK_INTERVAL_S
from spindle_decisions.mesh.frame_acknowledgements import FrameAcknowledgements
from spindle_decisions.timeline.hybrid_clock import HybridClock
from spindle_decisions.wire.frame import Frame
from spindle_decisions.wire.frame_codec import MAX_FRAME_BYTES, FrameCodec
from spindle_decisions.wire.frame_receipt import FrameReceipt
from spindle_decisions.wire.message import Message

_LOGGER = logging.getLogger(__name__)

MessageT = TypeVar("MessageT")
BadFrameListener = Callable[[FrameError], None]


class MeshTransport:
    """Receives frames on one address and sends frames to other addresses.

    Handlers are registered per message type and called on the event loop with
    the name of the sender. Malformed or wrongly signed frames are dropped, counted
    and logged; they never reach a handler. Beyond `MAX_PEERS` the socket that was
    least recently used is closed. A socket whose frames are no longer acknowledged is
    replaced; what was queued on it is lost.

    `advertise` is the address at which others reach this transport, by default `listen`.
    """

    def __init__(
        self, name: str, listen: str, codec: FrameCodec, clock: HybridClock, advertise: str = ""
    ) -> None:
        self.name = name
        self.codec = codec
        self.clock = clock
        self.advertise = advertise or listen
        self.acknowledgements = FrameAcknowledgements(random.getrandbits(const.FIRST_SEQ_BITS))
        self.peers: dict[str, PeerLink] = {}
        self.handlers: dict[type[Any], Callable[[str, Any], None]] = {}
        self.frames_in = 0
        self.frames_out = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.frames_malformed = 0
        self.frames_unsigned = 0
        self.frames_dropped = 0
        self.reconnects = 0
        self.on_bad_frame: BadFrameListener | None = None
        self.inbox = pynng.Pull0(
            recv_max_size=MAX_FRAME_BYTES, recv_buffer_size=const.RECV_QUEUE_MESSAGES
        )
        self.inbox.listen(listen)
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the greenlets that receive messages and check the connections."""
        self.greenlets = [
            gevent.spawn(receive_forever, self.inbox, self._receive),
            gevent.spawn(run_periodically, "mesh", lambda: CHECK_INTERVAL_S, self._check_peers),
        ]

    def register_handler(
        self, kind: type[MessageT], handler: Callable[[str, MessageT], None]
    ) -> None:
        """Set the handler of a message type; it is called with sender name and message."""
        self.handlers[kind] = handler

    def send(self, address: str, message: Message) -> bool:
        """Send a message to a mesh address without blocking; return false if it was dropped.

        A message to the own address uses no connection; its handler runs in a greenlet of its
        own after the caller of `send` gives way.
        """
        if address == self.advertise:
            gevent.spawn(self._dispatch, self.name, message)
            return True
        seq, ack = self.acknowledgements.next_frame(address)
        frame = Frame(self.name, self.clock.tick(), message, self.advertise, seq, ack)
        data = self.codec.encode(frame)
        sent = self._peer(address).send(data)
        if not sent:
            self.frames_dropped += 1
            return False
        is_receipt = isinstance(message, FrameReceipt)
        self.acknowledgements.on_sent(time.monotonic(), address, seq, is_receipt)
        self.frames_out += 1
        self.bytes_out += len(data)
        return True

    def disconnect(self, address: str) -> None:
        """Close the socket to an address that is no longer used, if there is one."""
        self.acknowledgements.remove(address)
        self._close_peer(address)

    def close(self) -> None:
        """Close the inbox and all outgoing sockets."""
        gevent.killall(self.greenlets)
        self.inbox.close()
        for peer in self.peers.values():
            peer.close()

    def _peer(self, address: str) -> PeerLink:
        peer = self.peers.pop(address, None) or PeerLink(address)
        self.peers[address] = peer
        if len(self.peers) > const.MAX_PEERS:
            self.disconnect(next(iter(self.peers)))
        return peer

    def _close_peer(self, address: str) -> None:
        peer = self.peers.pop(address, None)
        if peer is not None:
            peer.close()

    def _check_peers(self) -> None:
        now = time.monotonic()
        for address in self.acknowledgements.unacknowledged(now):
            peer = self.peers.get(address)
            if peer is None or not peer.is_connecting():
                self._reconnect(address)
        for address in self.acknowledgements.due_receipts(now):
            self._send_receipt(address)

    def _send_receipt(self, address: str) -> None:
        try:
            self.send(address, FrameReceipt())
        except pynng.NNGException as err:
            _LOGGER.warning("mesh: no acknowledgement can be sent to %s: %s", address, err)
            self.acknowledgements.remove(address)

    def _reconnect(self, address: str) -> None:
        """Replace a socket whose frames are not acknowledged; the next frame opens a new one."""
        self._close_peer(address)
        self.reconnects += 1
        if self.acknowledgements.on_reconnected(address) > 1:
            return
        fields = {"event": "peer-reconnect", "peer": address}
        _LOGGER.info("mesh: no acknowledgement from %s, reconnecting", address, extra=fields)

    def _receive(self, data: bytes) -> None:
        try:
            frame = self.codec.decode(data)
        except FrameError as err:
            self._record_bad_frame(err)
            return
        self.frames_in += 1
        self.bytes_in += len(data)
        self.clock.observe(frame.stamp)
        is_receipt = isinstance(frame.message, FrameReceipt)
        if frame.origin:
            self.acknowledgements.on_received(
                time.monotonic(), frame.origin, frame.seq, frame.ack, is_receipt
            )
        if not is_receipt:
            self._dispatch(frame.sender, frame.message)

    def _dispatch(self, sender: str, message: Message) -> None:
        handler = self.handlers.get(type(message))
        if handler is None:
            _LOGGER.debug("mesh: no handler for %s", type(message).__name__)
            return
        try:
            handler(sender, message)
        except Exception:
            _LOGGER.exception("mesh: handler failed for %s", type(message).__name__)

    def _record_bad_frame(self, err: FrameError) -> None:
        if isinstance(err, AuthError):
            self.frames_unsigned += 1
        else:
            self.frames_malformed += 1
        _LOGGER.warning("mesh: frame dropped: %s", err)
        if self.on_bad_frame is not None:
            self.on_bad_frame(err)
