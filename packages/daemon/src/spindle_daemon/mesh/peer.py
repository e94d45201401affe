"""The sending side of one link to another process."""

import pynng

from spindle_daemon.mesh import const


class PeerLink:
    """A push socket that dials one address and reconnects by itself.

    Sending never blocks: when the queue of the link is full the frame is
    dropped and counted, since every protocol above repeats what matters.
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
        """Queue a frame; return false when it was dropped."""
        try:
            self.socket.send(data, block=False)
        except pynng.TryAgain:
            self.dropped += 1
            return False
        return True

    def close(self) -> None:
        """Close the link; queued frames are lost."""
        self.socket.close()
