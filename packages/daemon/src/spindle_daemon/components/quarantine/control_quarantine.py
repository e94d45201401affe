"""Quarantine of a control instance, which relays news between entry instances."""

from collections.abc import Callable

from spindle_daemon.core.spindle import Spindle
from spindle_decisions.quarantine.request_quarantine import RequestQuarantine
from spindle_decisions.wire.quarantine_update import QuarantineUpdate


class ControlQuarantine:
    """Merges reports, and passes on what is new to entry and other control instances.

    `entry_addresses` returns the entry instances whose primary control instance this is,
    `control_addresses` the other control instances.
    """

    def __init__(
        self,
        spindle: Spindle,
        entry_addresses: Callable[[], list[str]],
        control_addresses: Callable[[], list[str]],
    ) -> None:
        self.spindle = spindle
        self.entry_addresses = entry_addresses
        self.control_addresses = control_addresses
        self.requests = RequestQuarantine()
        spindle.transport.register_handler(QuarantineUpdate, self._on_update)

    def digest(self) -> str:
        """Return a digest of the suspected requests."""
        return self.requests.digest(self.spindle.clock.now())

    def synchronize(self, address: str, digest: str) -> None:
        """Send what is known here to an entry instance that reported another digest."""
        news = self.requests.news_for(digest, self.spindle.clock.now())
        if news:
            self.spindle.transport.send(address, QuarantineUpdate(news, relayed=True))

    def expire(self) -> None:
        """Forget the requests whose suspicion has ended with time."""
        self.requests.expire(self.spindle.clock.now())

    def _on_update(self, _sender: str, update: QuarantineUpdate) -> None:
        now = self.spindle.clock.now()
        news = tuple(item for item in update.items if self.requests.merge(item, now))
        if not news:
            return
        relayed = QuarantineUpdate(news, relayed=True)
        addresses = self.entry_addresses()
        if not update.relayed:
            addresses = [*addresses, *self.control_addresses()]
        for address in addresses:
            self.spindle.transport.send(address, relayed)
