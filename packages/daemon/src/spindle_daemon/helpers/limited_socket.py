"""A socket that reads only so many bytes."""

from typing import Any

import gevent.socket


class ReceiveLimitError(Exception):
    """More bytes were sent than may be read."""


class LimitedSocket(gevent.socket.socket):
    """Raises `ReceiveLimitError` once more than `limit_bytes` were read since `reset`.

    The HTTP client keeps all that it reads: heads, interim answers and bodies. A peer that
    sends without end would use up the memory before any time limit ends it.
    """

    limit_bytes = 0
    received_bytes = 0

    def reset(self) -> None:
        """Begin to count anew, as for the next answer."""
        self.received_bytes = 0

    def recv(self, *args: Any) -> bytes:
        """Read as a socket does; raise `ReceiveLimitError` beyond the limit."""
        data: bytes = super().recv(*args)
        self.received_bytes += len(data)
        if self.received_bytes > self.limit_bytes:
            raise ReceiveLimitError(
                f"{self.received_bytes} bytes were sent, at most {self.limit_bytes} are read"
            )
        return data


def create_limited_socket(
    limit_bytes: int, family: int, socket_type: int, protocol: int
) -> LimitedSocket:
    """Return a socket, not connected yet, that reads at most `limit_bytes`."""
    sock = LimitedSocket(family, socket_type, protocol)
    sock.limit_bytes = limit_bytes
    return sock
