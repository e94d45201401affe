"""Forwards the bytes of one connection in one direction."""

import time
from typing import Any

import gevent
from gevent.event import Event
from gevent.queue import Queue

from spindle_devkit.proxy import const
from spindle_devkit.proxy.direction import UNLIMITED, Direction
from spindle_devkit.proxy.pump_result import PumpResult

_END_OF_STREAM = b""


class Pump:
    """Copies bytes from one socket to another and applies the faults of a direction.

    Chunks are held in a bounded queue with their delivery time, so that a delay
    adds latency without reducing the throughput.
    """

    def __init__(self, source: Any, sink: Any, direction: Direction, is_silent: Event) -> None:
        self.source = source
        self.sink = sink
        self.direction = direction
        self.is_silent = is_silent
        self.chunks: Queue = Queue(const.MAX_QUEUED_CHUNKS)
        self.truncations = direction.truncations
        self.remaining_bytes = direction.truncate_after

    def run(self) -> PumpResult:
        """Forward bytes until the stream ends, is truncated or fails."""
        reader = gevent.spawn(self._read)
        try:
            return self._write()
        except OSError:
            return PumpResult.FAILED
        finally:
            reader.kill(block=False)

    def _read(self) -> None:
        while True:
            try:
                data = self.source.recv(const.CHUNK_BYTES)
            except OSError:
                data = None
            self.chunks.put((time.monotonic() + self.direction.delay_s, data))
            if not data:
                return

    def _write(self) -> PumpResult:
        while True:
            deliver_at, data = self.chunks.get()
            gevent.sleep(max(0.0, deliver_at - time.monotonic()))
            self.direction.passable.wait()
            if data is None:
                return PumpResult.FAILED
            if data == _END_OF_STREAM:
                return PumpResult.ENDED
            if self.is_silent.is_set():
                continue
            allowed = self._take_allowed(data)
            self.sink.sendall(allowed)
            self.direction.total_bytes += len(allowed)
            if len(allowed) < len(data) or self.remaining_bytes == 0:
                return PumpResult.TRUNCATED

    def _take_allowed(self, data: bytes) -> bytes:
        if self.truncations != self.direction.truncations:
            self.truncations = self.direction.truncations
            self.remaining_bytes = self.direction.truncate_after
        if self.remaining_bytes == UNLIMITED:
            return data
        allowed = data[: self.remaining_bytes]
        self.remaining_bytes -= len(allowed)
        return allowed
