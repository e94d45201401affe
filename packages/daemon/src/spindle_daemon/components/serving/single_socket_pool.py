"""The socket pool that gives the HTTP client a single socket."""

import socket
from typing import Any

from geventhttpclient.connectionpool import ConnectionPool

from spindle_daemon.components.serving.const import MAX_ANSWER_BYTES
from spindle_daemon.helpers.limited_socket import LimitedSocket, create_limited_socket

_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class SingleSocketPool(ConnectionPool):
    """A connection pool of the HTTP client that holds one socket.

    Hosts are IP addresses, so there is no name resolution. `acquired` tells
    whether the last request got a socket, which means that bytes of it may have
    been sent.
    """

    acquired = False

    def get_socket(self) -> Any:
        """Return the open socket, or connect a new one."""
        self.acquired = False
        sock = super().get_socket()
        sock.reset()
        self.acquired = True
        return sock

    def after_connect(self, sock: Any) -> None:
        """Disable Nagle's algorithm, so that small writes are sent immediately."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _create_tcp_socket(self, family: int, socktype: int, protocol: int) -> LimitedSocket:
        return create_limited_socket(MAX_ANSWER_BYTES, family, socktype, protocol)

    def _resolve(self) -> Any:
        address = (self._connection_host, self._connection_port)
        family = socket.AF_INET6 if ":" in self._connection_host else socket.AF_INET
        return [(family, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", address)]

    def _is_socket_alive(self, sock: Any) -> bool:
        # An idle connection must have nothing to read: neither the end of the stream
        # nor bytes of an earlier answer. `select` would fail for file descriptors
        # above its limit, `recv` does not.
        try:
            sock._sock.recv(1, _PEEK)
        except BlockingIOError:
            return True
        except (OSError, ValueError):
            return False
        return False
