"""Free ports on loopback."""

import random
import socket

LOOPBACK = "127.0.0.1"
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000

_GIVEN: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that no socket is bound to and that were not returned before.

    They lie below the range from which the operating system takes the ports of
    outgoing connections, so that no connection can take one before it is used.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(LOWEST_PORT, HIGHEST_PORT)
        if port in _GIVEN or not _is_free(port):
            continue
        _GIVEN.add(port)
        ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
