"""A stand-in upstream with its HTTP server."""

import time

from spindle_devkit.upstream.behavior import Behavior
from spindle_devkit.upstream.behavior_change import BehaviorChange
from spindle_devkit.upstream.connection_server import ConnectionServer
from spindle_devkit.upstream.control_application import ControlApplication
from spindle_devkit.upstream.standin_upstream import StandinUpstream, create_standin_upstream
from spindle_devkit.upstream.upstream_settings import UpstreamSettings

_SAME_NAMED = frozenset(Behavior.__struct_fields__) & frozenset(BehaviorChange.__struct_fields__)


class ServedUpstream:
    """Starts and stops the server of a stand-in upstream and applies behaviour changes."""

    def __init__(self, upstream: StandinUpstream) -> None:
        self.upstream = upstream
        self.port = upstream.settings.listen.port
        self.control = ControlApplication({upstream.settings.name: self})
        self.server: ConnectionServer | None = None

    def listen(self) -> None:
        """Start accepting connections; has no effect if the server already listens."""
        if self.server is None:
            self.server = ConnectionServer(self.upstream, self.port, self.control)
            self.server.start()
            self.port = self.server.server_port

    def refuse(self) -> None:
        """Stop accepting connections; open connections stay open."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def apply(self, change: BehaviorChange) -> None:
        """Apply a behaviour change."""
        behavior, now = self.upstream.behavior, time.monotonic()
        for name in _SAME_NAMED:
            value = getattr(change, name)
            if value is not None:
                setattr(behavior, name, frozenset(value) if name == "snapshots" else value)
        if change.truthful_load:
            behavior.reported_load, behavior.load_lag_s = None, 0.0
        if change.freeze_s is not None:
            behavior.freeze_until = now + change.freeze_s
        if change.cold_start:
            behavior.cold_until = now + self.upstream.settings.cold_start_s
        if change.refuse_connections is not None:
            self.refuse() if change.refuse_connections else self.listen()
        if change.reset_connections:
            self.upstream.reset_connections()


def create_served_upstream(settings: UpstreamSettings) -> ServedUpstream:
    """Return a stand-in upstream whose server listens."""
    served = ServedUpstream(create_standin_upstream(settings))
    served.listen()
    return served
