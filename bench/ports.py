"""Free ports on loopback."""

import socket

LOOPBACK = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Return ports that no socket is bound to; all are held until the last is found."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((LOOPBACK, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
