"""Receiving on the one loop."""

from collections.abc import Callable

import gevent.socket
import pynng


def receive_forever(inbox: pynng.Pull0, on_data: Callable[[bytes], None]) -> None:
    """Hand every message of a socket to `on_data` until the socket is closed.

    A blocking receive would stop the loop, so that an empty socket is waited for
    through its file descriptor.
    """
    while True:
        try:
            data = inbox.recv(block=False)
        except pynng.TryAgain:
            gevent.socket.wait_read(inbox.recv_fd)
            continue
        except pynng.Closed:
            return
        on_data(data)
