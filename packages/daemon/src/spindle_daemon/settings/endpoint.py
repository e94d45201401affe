"""A host and a port."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An address to listen on or to connect to; the host is an IP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
