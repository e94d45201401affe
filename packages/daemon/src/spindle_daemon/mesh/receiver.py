"""Receives messages on the event loop."""

from collections.abc import Callable

import gevent.socket
import pynng


def receive_forever(inbox: pynng.Pull0, on_data: Callable[[bytes], None]) -> None:
    """Pass every message of a socket to `on_data` until the socket is closed.

    A blocking receive would block the event loop, so the greenlet waits on the
    file descriptor of the socket while there is no message.
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
