"""Interface for counting requests and probes in the account of a process."""

from typing import Protocol

from spindle_decisions.account.query_record import QueryRecord


class AccountSink(Protocol):
    """Counts the requests and probes of this process."""

    def record_arrival(self, group: str) -> None:
        """Count a request on arrival, before any step that can fail."""

    def record_probe(self, group: str) -> None:
        """Count a status request to an upstream of the group."""

    def record_finished(self, record: QueryRecord) -> None:
        """Count a finished request by its outcome."""
