"""The settings of one link."""

from dataclasses import dataclass

from spindle_devkit.endpoint import Endpoint


@dataclass(frozen=True)
class LinkSettings:
    """The name, the listening address and the target address of a link."""

    name: str
    listen: Endpoint
    target: Endpoint
