"""A TCP address."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Endpoint:
    """Host and port; written `host:port`."""

    host: str
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Parse `host:port`; raise `ValueError` if the text has another form."""
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"address {text!r} does not have the form host:port")
    return Endpoint(host, int(port))
