"""A forwarded connection of a link."""

import socket
from typing import Any

import gevent
from gevent.event import Event

from spindle_devkit.proxy.direction import Direction
from spindle_devkit.proxy.pump import Pump
from spindle_devkit.proxy.pump_result import PumpResult
from spindle_devkit.sockets import reset, set_no_delay


class Connection:
    """The client socket and the target socket, with a pump in each direction."""

    def __init__(self, client: Any, target: Any, forward: Direction, backward: Direction) -> None:
        self.client = client
        self.target = target
        self.forward = forward
        self.backward = backward
        self.is_silent = Event()
        for sock in (client, target):
            set_no_delay(sock)

    def run(self) -> None:
        """Forward both directions until both streams ended or one of them failed."""
        greenlets = [
            gevent.spawn(self._pump, self.client, self.target, self.forward),
            gevent.spawn(self._pump, self.target, self.client, self.backward),
        ]
        gevent.joinall(greenlets)
        self.client.close()
        self.target.close()

    def silence(self) -> None:
        """Drop what arrives from now on, in both directions."""
        self.is_silent.set()

    def reset(self) -> None:
        """Reset both sockets."""
        for sock in (self.client, self.target):
            reset(sock)

    def _pump(self, source: Any, sink: Any, direction: Direction) -> None:
        result = Pump(source, sink, direction, self.is_silent).run()
        if self.is_silent.is_set():
            return
        if result is PumpResult.ENDED:
            _shutdown(sink, socket.SHUT_WR)
            return
        if result is PumpResult.FAILED:
            self.reset()
            return
        for sock in (self.client, self.target):
            _shutdown(sock, socket.SHUT_RDWR)


def _shutdown(sock: Any, how: int) -> None:
    try:
        sock.shutdown(how)
    except OSError:
        return
