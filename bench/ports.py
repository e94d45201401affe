"""Free ports on loopback."""

import os
import random
import socket

LOOPBACK = "127.0.0.1"
MIN_PORT = 10_000
MAX_PORT = 32_000
# `1/4` selects the second quarter of the ports, so that test modules can run in parallel.
SLICE_VARIABLE = "SPINDLE_PORT_SLICE"

_ALLOCATED: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that no socket is bound to and that were not returned before.

    They are below the ephemeral port range of the operating system, so that no
    outgoing connection can occupy one before it is used.
    """
    ports: list[int] = []
    lowest, highest = _port_range(os.environ.get(SLICE_VARIABLE, "0/1"))
    while len(ports) < count:
        port = random.randrange(lowest, highest)
        if port in _ALLOCATED or not _is_free(port):
            continue
        _ALLOCATED.add(port)
        ports.append(port)
    return ports


def _port_range(text: str) -> tuple[int, int]:
    number, _, count = text.partition("/")
    width = (MAX_PORT - MIN_PORT) // int(count)
    lowest = MIN_PORT + int(number) * width
    return lowest, lowest + width


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
