"""Log handler that never blocks on a slow reader."""

import collections
import logging
import os

import gevent
from gevent.event import Event

MAX_QUEUED_LINES = 2_000
RETRY_DELAY_S = 0.05


class LogWriter(logging.Handler):
    """Queues log lines and writes them to a non-blocking descriptor from a greenlet.

    When the queue is full, new lines are dropped and counted; their number is logged
    once the queue has been written.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.dropped_count = 0
        self.has_lines = Event()
        os.set_blocking(descriptor, False)

    def start(self) -> None:
        """Start the greenlet that writes."""
        gevent.spawn(self._write_forever)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or count it as dropped if the queue is full."""
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped_count += 1
            return
        try:
            self.lines.append(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)
            return
        self.has_lines.set()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self.lines and self._write(self.lines[0]):
            self.lines.popleft()

    def _write_forever(self) -> None:
        while True:
            self.has_lines.wait()
            self.has_lines.clear()
            self.flush()
            if self.lines:
                gevent.sleep(RETRY_DELAY_S)
                self.has_lines.set()
            elif self.dropped_count:
                count, self.dropped_count = self.dropped_count, 0
                logging.getLogger(__name__).warning(
                    "log: lines dropped", extra={"event": "lines-left-out", "count": count}
                )

    def _write(self, line: bytes) -> bool:
        try:
            written = os.write(self.descriptor, line)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if written < len(line):
            self.lines[0] = line[written:]
            return False
        return True
