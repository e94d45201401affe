"""The interface of a stand-in upstream that the control API uses."""

from typing import Protocol

from spindle_devkit.upstream.behavior_change import BehaviorChange
from spindle_devkit.upstream.standin_upstream import StandinUpstream


class ConfigurableUpstream(Protocol):
    """A stand-in upstream whose behaviour can be changed."""

    upstream: StandinUpstream

    def apply(self, change: BehaviorChange) -> None:
        """Apply a behaviour change."""
