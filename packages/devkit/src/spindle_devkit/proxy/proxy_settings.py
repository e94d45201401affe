"""The settings of a fault proxy process."""

from dataclasses import dataclass

from spindle_devkit.endpoint import Endpoint
from spindle_devkit.proxy.link_settings import LinkSettings


@dataclass(frozen=True)
class ProxySettings:
    """The links of one process and the address of its control API."""

    control: Endpoint
    links: tuple[LinkSettings, ...]
