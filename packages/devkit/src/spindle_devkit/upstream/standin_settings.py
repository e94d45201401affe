"""The settings of a stand-in process."""

from dataclasses import dataclass

from spindle_devkit.endpoint import Endpoint
from spindle_devkit.upstream.upstream_settings import UpstreamSettings


@dataclass(frozen=True)
class StandinSettings:
    """The upstreams of one process and the address of its control API.

    `control` is `None` if the process has no separate control address.
    """

    control: Endpoint | None
    upstreams: tuple[UpstreamSettings, ...]
