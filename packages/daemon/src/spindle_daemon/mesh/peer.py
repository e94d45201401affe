"""The outgoing socket to another process."""

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

    def close(self) -> None:
        """Close the socket; queued frames are lost."""
        self.socket.close()
