"""The settings of one link."""

from dataclasses import dataclass

from spindle_devkit.endpoint import Endpoint


@dataclass(frozen=True)
class LinkSettings:
    """Where a link listens and where it leads."""

    name: str
    listen: Endpoint
    target: Endpoint
