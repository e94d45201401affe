"""The running instance, shared by its components."""

import logging
import random
from collections.abc import Callable

from spindle_daemon.core.account_sink import AccountSink
from spindle_daemon.core.catalog_source import CatalogSource
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.control_client import ControlClient
from spindle_daemon.core.event_bus import EventBus
from spindle_daemon.core.timeline_sink import TimelineSink
from spindle_daemon.mesh.transport import MeshTransport
from spindle_daemon.settings.settings import Settings
from spindle_decisions.wire.live_instance import LiveInstance

_LOGGER = logging.getLogger(__name__)

StopHook = Callable[[], None]


class Spindle:
    """Holds the state and interfaces that the components of one process share.

    Each interface is assigned by the component that provides it, before the
    components that use it are set up. Stop hooks run in reverse order of registration,
    each to completion, so that serving stops before the components it depends on.
    """

    catalog: CatalogSource
    control: ControlClient
    timeline: TimelineSink
    account: AccountSink
    transport: MeshTransport

    def __init__(
        self, settings: Settings, clock: Clock, rng: random.Random, incarnation: int
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.incarnation = incarnation
        self.bus = EventBus()
        self.ready = False
        self.leaving = False
        self.stop_hooks: list[StopHook] = []

    def own_instance(self) -> LiveInstance:
        """Return the description of this instance that is sent to others."""
        settings = self.settings
        return LiveInstance(
            instance=settings.instance.name,
            incarnation=self.incarnation,
            data_center=settings.instance.data_center,
            role=settings.instance.role,
            mesh_address=settings.mesh.advertise,
            admin_host=settings.admin.host,
            admin_port=settings.admin.port,
            leaving=self.leaving,
        )

    def add_stop_hook(self, hook: StopHook) -> None:
        """Register a function to run at a graceful shutdown; it may block its greenlet."""
        self.stop_hooks.append(hook)

    def stop(self) -> None:
        """Run all stop hooks, last registered first; log one that fails and go on."""
        self.leaving = True
        for hook in reversed(self.stop_hooks):
            try:
                hook()
            except Exception:
                _LOGGER.exception("daemon: stop hook failed")
