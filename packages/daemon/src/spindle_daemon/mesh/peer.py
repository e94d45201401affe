"""The outgoing socket to another process."""

import time

import pynng

from spindle_daemon.mesh import const


class PeerLink:
    """A push socket that dials one address and reconnects automatically.

    Sending never blocks: a frame is dropped and counted if the queue is full. All
    protocols on top of it retry or repeat their messages.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.dropped = 0
        self.opened_at = time.monotonic()
        self.socket = pynng.Push0(
            send_buffer_size=const.SEND_QUEUE_MESSAGES,
            reconnect_time_min=const.RECONNECT_MIN_MS,
            reconnect_time_max=const.RECONNECT_MAX_MS,
        )
        self.socket.dial(address, block=False)

    def send(self, data: bytes) -> bool:
        """Queue a frame; return false if it was dropped."""
        try:
            self.socket.send(data, block=False)
        except pynng.TryAgain:
            self.dropped += 1
            return False
        return True

    def is_connecting(self) -> bool:
        """Return whether the socket has no connection yet and may still get one soon."""
        return not self.socket.pipes and time.monotonic() - self.opened_at < const.CONNECT_TIMEOUT_S

    def close(self) -> None:
        """Close the socket; queued frames are lost."""
        self.socket.close()
