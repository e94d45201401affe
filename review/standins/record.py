"""The record of a case: what was sent, answered and run."""

import json
import pathlib
import time
from typing import Any


class Record:
    """Writes one line an event, with the seconds since the start of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self.stream = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def add(self, event: str, **fields: Any) -> None:
        """Write one event."""
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self.stream.write(f"{self.now():8.3f} {event} {text}\n")
        self.stream.flush()

    def say(self, text: str) -> None:
        """Write a line of text, and print it."""
        self.stream.write(f"{self.now():8.3f} # {text}\n")
        self.stream.flush()
        print(f"{self.now():8.3f} {text}", flush=True)
