"""Fakes for the tests of the account."""

import random
from collections.abc import Callable
from typing import Any

from spindle_daemon.core.spindle import Spindle
from spindle_daemon.settings.loader import parse_settings
from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.group import Group
from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.exceptions import StorageError

SETTINGS = """
[instance]
name = {name}
data-center = rennes-a
role = {role}
key-file = /nowhere
data-dir = /nowhere
[mesh]
listen = tcp://127.0.0.1:7000
[admin]
listen = 127.0.0.1:7001
[entry]
listen = 127.0.0.1:7002
[controls]
control-a = tcp://127.0.0.1:7100
control-b = tcp://127.0.0.1:7200
"""


class FakeClock:
    def __init__(self) -> None:
        self.ms = 60_000_000

    def now(self) -> float:
        return self.ms / 1000

    def wall_ms(self) -> int:
        return self.ms


class FakeTransport:
    """Passes sent messages to `receiver`, which ignores them by default."""

    def __init__(self) -> None:
        self.handlers: dict[type, Callable[[str, Any], None]] = {}
        self.sent: list[tuple[str, Any]] = []
        self.receiver: Callable[[str, Any], None] = lambda _address, _message: None

    def register_handler(self, kind: type, handler: Callable[[str, Any], None]) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, message: Any) -> bool:
        self.sent.append((address, message))
        self.receiver(address, message)
        return True

    def deliver(self, sender: str, message: Any) -> None:
        self.handlers[type(message)](sender, message)


class FakeCatalog:
    index = CatalogIndex(Catalog(1, groups=(Group("comptoir"),)))

    def age_s(self) -> float:
        return 0.0


class MemorySink:
    """A `SummarySink` in memory, which fails to write while `fails` is set."""

    def __init__(self) -> None:
        self.items: dict[tuple[str, int, int], bytes] = {}
        self.writes = 0
        self.fails = False

    def put(self, instance: str, incarnation: int, minute: int, data: bytes) -> None:
        if self.fails:
            raise StorageError("disk is full")
        self.writes += 1
        self.items[(instance, incarnation, minute)] = data

    def load(self, first_minute: int, last_minute: int) -> list[bytes]:
        return [data for key, data in self.items.items() if first_minute <= key[2] <= last_minute]

    def days(self) -> tuple[str, ...]:
        return ()


def create_spindle(name: str, role: str, clock: FakeClock) -> tuple[Spindle, FakeTransport]:
    text = SETTINGS.format(name=name, role=role)
    spindle = Spindle(parse_settings(text), clock, random.Random(1), incarnation=5)
    transport = FakeTransport()
    spindle.transport = transport  # type: ignore[assignment]
    spindle.catalog = FakeCatalog()
    return spindle, transport
