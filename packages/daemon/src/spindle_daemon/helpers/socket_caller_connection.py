"""Disconnect detection on the socket of a caller."""

import socket
from collections.abc import Callable
from typing import Any

import gevent

_EVENT_READ = 1


class SocketCallerConnection:
    """Watches the caller's socket for a disconnect while a request is processed.

    Bytes of a pipelined request end the watching, since the caller is still connected.
    """

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.watcher: Any = None
        self.on_disconnect: Callable[[], None] | None = None

    def watch_disconnect(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once when the caller closes its connection."""
        self.on_disconnect = on_disconnect
        self.watcher = gevent.get_hub().loop.io(self.sock.fileno(), _EVENT_READ)
        self.watcher.start(self._on_readable)

    def unwatch(self) -> None:
        """Stop watching."""
        if self.watcher is not None:
            self.watcher.stop()
            self.watcher.close()
            self.watcher = None

    def _on_readable(self) -> None:
        self.watcher.stop()
        if _is_closed(self.sock) and self.on_disconnect is not None:
            self.on_disconnect()


def _is_closed(sock: Any) -> bool:
    try:
        return bool(sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"")
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True
