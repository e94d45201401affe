"""One link of the fault proxy."""

import logging
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from spindle_devkit.proxy import const
from spindle_devkit.proxy.connection import Connection
from spindle_devkit.proxy.direction import Direction
from spindle_devkit.proxy.link_change import LinkChange
from spindle_devkit.proxy.link_settings import LinkSettings
from spindle_devkit.proxy.link_status import LinkStatus
from spindle_devkit.sockets import reset

_LOGGER = logging.getLogger(__name__)


class Link:
    """Accepts connections at one address and forwards them to another."""

    def __init__(self, settings: LinkSettings) -> None:
        self.settings = settings
        self.port = settings.listen.port
        self.forward = Direction()
        self.backward = Direction()
        self.connections: set[Connection] = set()
        self.server: StreamServer | None = None

    def listen(self) -> None:
        """Start accepting connections; has no effect if the link already listens."""
        if self.server is None:
            self.server = StreamServer((self.settings.listen.host, self.port), self._handle)
            self.server.start()
            self.port = self.server.server_port

    def refuse(self) -> None:
        """Stop accepting connections; open connections stay open."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def apply(self, change: LinkChange) -> None:
        """Apply a change requested through the control API."""
        if change.delay_ms is not None:
            self.forward.delay_s = self.backward.delay_s = change.delay_ms / 1000.0
        if change.cut_forward is not None:
            self.forward.cut(change.cut_forward)
        if change.cut_backward is not None:
            self.backward.cut(change.cut_backward)
        if change.truncate_forward_after is not None:
            self.forward.truncate(change.truncate_forward_after)
        if change.truncate_backward_after is not None:
            self.backward.truncate(change.truncate_backward_after)
        if change.refuse is not None:
            self.refuse() if change.refuse else self.listen()
        if change.reset:
            for connection in tuple(self.connections):
                connection.reset()
        if change.silence:
            for connection in self.connections:
                connection.silence()

    def status(self) -> LinkStatus:
        """Return the open connections and the byte totals of the link."""
        return LinkStatus(
            link=self.settings.name,
            connections=len(self.connections),
            forward_bytes=self.forward.total_bytes,
            backward_bytes=self.backward.total_bytes,
        )

    def _handle(self, client: Any, _address: Any) -> None:
        gevent.sleep(self.forward.delay_s + self.backward.delay_s)
        self.forward.passable.wait()
        target = self.settings.target
        try:
            target_sock = socket.create_connection(
                (target.host, target.port), const.CONNECT_TIMEOUT_S
            )
        except OSError as err:
            _LOGGER.info(
                "proxy: link %s cannot connect to %s:%s: %s",
                self.settings.name,
                target.host,
                target.port,
                err,
            )
            reset(client)
            return
        target_sock.settimeout(None)
        connection = Connection(client, target_sock, self.forward, self.backward)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)


def create_link(settings: LinkSettings) -> Link:
    """Return a link that listens."""
    link = Link(settings)
    link.listen()
    return link
