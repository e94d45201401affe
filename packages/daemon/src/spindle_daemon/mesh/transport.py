"""Signed messages between processes over one inbox and one outgoing socket per peer."""

import logging
from collections.abc import Callable
from typing import Any, TypeVar

import gevent
import pynng

from spindle_daemon.mesh import const
from spindle_daemon.mesh.peer import PeerLink
from spindle_daemon.mesh.receiver import receive_forever
from spindle_decisions.exceptions import AuthError, FrameError
from spindle_decisions.timeline.hybrid_clock import HybridClock
from spindle_decisions.wire.frame import Frame
from spindle_decisions.wire.frame_codec import MAX_FRAME_BYTES, FrameCodec
from spindle_decisions.wire.message import Message

_LOGGER = logging.getLogger(__name__)

MessageT = TypeVar("MessageT")
BadFrameListener = Callable[[FrameError], None]


class MeshTransport:
    """Receives frames on one address and sends frames to other addresses.

    Handlers are registered per message type and called on the event loop with
    the name of the sender. Malformed or wrongly signed frames are dropped, counted
    and logged; they never reach a handler. Beyond `MAX_PEERS` the socket that was
    least recently used is closed.
    """

    def __init__(self, name: str, listen: str, codec: FrameCodec, clock: HybridClock) -> None:
        self.name = name
        self.codec = codec
        self.clock = clock
        self.peers: dict[str, PeerLink] = {}
        self.handlers: dict[type[Any], Callable[[str, Any], None]] = {}
        self.frames_in = 0
        self.frames_out = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.frames_malformed = 0
        self.frames_unsigned = 0
        self.frames_dropped = 0
        self.on_bad_frame: BadFrameListener | None = None
        self.inbox = pynng.Pull0(
            recv_max_size=MAX_FRAME_BYTES, recv_buffer_size=const.RECV_QUEUE_MESSAGES
        )
        self.inbox.listen(listen)
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet that receives messages."""
        self.greenlet = gevent.spawn(receive_forever, self.inbox, self._receive)

    def register_handler(
        self, kind: type[MessageT], handler: Callable[[str, MessageT], None]
    ) -> None:
        """Set the handler of a message type; it is called with sender name and message."""
        self.handlers[kind] = handler

    def send(self, address: str, message: Message) -> bool:
        """Send a message to a mesh address without blocking; return false if it was dropped."""
        frame = Frame(self.name, self.clock.tick(), message)
        data = self.codec.encode(frame)
        sent = self._peer(address).send(data)
        if not sent:
            self.frames_dropped += 1
            return False
        self.frames_out += 1
        self.bytes_out += len(data)
        return True

    def disconnect(self, address: str) -> None:
        """Close the socket to an address that is no longer used, if there is one."""
        peer = self.peers.pop(address, None)
        if peer is not None:
            peer.close()

    def close(self) -> None:
        """Close the inbox and all outgoing sockets."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self.inbox.close()
        for peer in self.peers.values():
            peer.close()

    def _peer(self, address: str) -> PeerLink:
        peer = self.peers.pop(address, None) or PeerLink(address)
        self.peers[address] = peer
        if len(self.peers) > const.MAX_PEERS:
            self.disconnect(next(iter(self.peers)))
        return peer

    def _receive(self, data: bytes) -> None:
        try:
            frame = self.codec.decode(data)
        except FrameError as err:
            self._record_bad_frame(err)
            return
        self.frames_in += 1
        self.bytes_in += len(data)
        self.clock.observe(frame.stamp)
        handler = self.handlers.get(type(frame.message))
        if handler is None:
            _LOGGER.debug("mesh: no handler for %s", type(frame.message).__name__)
            return
        try:
            handler(frame.sender, frame.message)
        except Exception:
            _LOGGER.exception("mesh: handler failed for %s", type(frame.message).__name__)

    def _record_bad_frame(self, err: FrameError) -> None:
        if isinstance(err, AuthError):
            self.frames_unsigned += 1
        else:
            self.frames_malformed += 1
        _LOGGER.warning("mesh: frame dropped: %s", err)
        if self.on_bad_frame is not None:
            self.on_bad_frame(err)
