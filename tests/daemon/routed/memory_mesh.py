"""A mesh between instances of one process."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import gevent


class MemoryMesh:
    """Delivers messages between instances of one process; `dead` ones get and send none."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[type, Callable[[str, Any], None]]] = {}
        self.dead: set[str] = set()
        self.delays_s: dict[str, float] = {}
        self.sent: list[tuple[str, str, Any]] = []

    def transport(self, name: str) -> SimpleNamespace:
        """Return the transport of one instance, whose name is also its address."""
        handlers = self.handlers.setdefault(name, {})

        def send(address: str, message: Any) -> bool:
            self.sent.append((name, address, message))
            if not {name, address} & self.dead:
                gevent.spawn_later(
                    self.delays_s.get(address, 0.0), self._deliver, name, address, message
                )
            return True

        return SimpleNamespace(register_handler=handlers.__setitem__, send=send)

    def _deliver(self, sender: str, address: str, message: Any) -> None:
        self.handlers[address][type(message)](sender, message)

    def messages(self, kind: type) -> list[tuple[str, str, Any]]:
        """Return sender, receiver and content of the messages of a type."""
        return [item for item in self.sent if isinstance(item[2], kind)]
