"""Where the serving path reports every finished request."""

from typing import Protocol

from spindle_decisions.account.query_record import QueryRecord


class AccountSink(Protocol):
    """The account of this process."""

    def record_arrival(self, group: str) -> None:
        """Count a request at its arrival, before anything can go wrong."""

    def record_probe(self, group: str) -> None:
        """Count a status request to an upstream of the group."""

    def record_finished(self, record: QueryRecord) -> None:
        """Count how a request ended."""
