"""The address of an admin endpoint."""

import dataclasses
import ipaddress

from spindle_decisions.exceptions import SettingsError

MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `ip:port`; raise `SettingsError` for anything else."""
    host, _, port = text.strip().rpartition(":")
    if not port.isascii() or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"address {text!r} must be IP:PORT with a port of 1 to {MAX_PORT}")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise SettingsError(f"address {text!r} must be IP:PORT with an IP number") from None
    return Address(host, int(port))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse addresses separated by commas or spaces."""
    return tuple(parse_address(part) for part in text.replace(",", " ").split())
