"""The settings of a stand-in process."""

from dataclasses import dataclass

from spindle_devkit.upstream.upstream_settings import UpstreamSettings


@dataclass(frozen=True)
class StandinSettings:
    """The upstreams of one process and the address of its control side.

    `control_port` of 0 picks a free port; `None` means that the process has no
    control side.
    """

    control_host: str
    control_port: int | None
    upstreams: tuple[UpstreamSettings, ...]
