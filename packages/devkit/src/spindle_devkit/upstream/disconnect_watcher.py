"""Detects that a caller closed its connection during a request."""

from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import gevent

from spindle_devkit.sockets import peer_closed

_EVENT_READ = 1


class DisconnectWatcher:
    """Calls `on_close` once when the peer of a socket closes it.

    It is active during the wait for a slot and the service time:

        with DisconnectWatcher(sock, queued.cancel):
            queued.changed.wait()
    """

    def __init__(self, sock: Any, on_close: Callable[[], None]) -> None:
        self.sock = sock
        self.on_close = on_close
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), _EVENT_READ)

    def __enter__(self) -> Self:
        self.watcher.start(self._on_readable)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.watcher.stop()
        self.watcher.close()

    def _on_readable(self) -> None:
        self.watcher.stop()
        if peer_closed(self.sock):
            self.on_close()
