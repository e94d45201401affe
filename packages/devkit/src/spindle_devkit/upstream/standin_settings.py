"""The settings of a stand-in process."""

from dataclasses import dataclass

from spindle_devkit.endpoint import Endpoint
from spindle_devkit.upstream.upstream_settings import UpstreamSettings


@dataclass(frozen=True)
class StandinSettings:
    """The upstreams of one process and the address of its control side.

    `None` means that the process has no control side of its own.
    """

    control: Endpoint | None
    upstreams: tuple[UpstreamSettings, ...]
