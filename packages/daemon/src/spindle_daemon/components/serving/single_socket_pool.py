"""The socket of one connection to an upstream."""

import socket
from typing import Any

from geventhttpclient.connectionpool import ConnectionPool

_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class SingleSocketPool(ConnectionPool):
    """A pool of one socket, as the HTTP client wants one.

    Addresses are IP numbers, so nothing is resolved. Small writes leave at once.
    `acquired` tells whether the last request got a socket, and so whether any
    byte of it can have been sent.
    """

    acquired = False

    def get_socket(self) -> Any:
        """Return the open socket, or connect."""
        self.acquired = False
        sock = super().get_socket()
        self.acquired = True
        return sock

    def after_connect(self, sock: Any) -> None:
        """Switch off Nagle's algorithm."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _resolve(self) -> Any:
        address = (self._connection_host, self._connection_port)
        family = socket.AF_INET6 if ":" in self._connection_host else socket.AF_INET
        return [(family, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", address)]

    def _is_socket_alive(self, sock: Any) -> bool:
        # An idle connection has nothing to read; the end of the stream and bytes
        # of an earlier answer both make it useless. Unlike select this has no
        # limit on the number of the descriptor.
        try:
            sock._sock.recv(1, _PEEK)
        except BlockingIOError:
            return True
        except (OSError, ValueError):
            return False
        return False
