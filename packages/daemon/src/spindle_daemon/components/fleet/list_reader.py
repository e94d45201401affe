"""Reading the platform's list of upstreams when it is this process's turn."""

import logging
from collections.abc import Callable

import gevent

from spindle_daemon.components.fleet.const import READ_RETRY_S, READ_TICK_S
from spindle_daemon.components.fleet.list_codec import decode_list
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.platform_adapter import UpstreamSource
from spindle_daemon.helpers.periodic import run_periodically
from spindle_decisions.exceptions import FrameError, UpstreamListError
from spindle_decisions.fleet.upstream_list_cache import UpstreamListCache
from spindle_decisions.routing.upstream_list import create_upstream_list
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.list_push import ListPush

_LOGGER = logging.getLogger(__name__)


class ListReader:
    """Reads the list once it is older than `read_after_s()` and hands on what is new.

    `on_read` gets whether the content changed. A list that another process has read
    saves a reading.
    """

    def __init__(
        self,
        clock: Clock,
        keeper: UpstreamListCache,
        source: UpstreamSource,
        read_after_s: Callable[[], float],
        on_read: Callable[[bool], None],
    ) -> None:
        self.clock = clock
        self.keeper = keeper
        self.source = source
        self.read_after_s = read_after_s
        self.on_read = on_read
        self.not_before = 0.0
        self.failing = False

    def start(self) -> None:
        """Start the greenlet."""
        gevent.spawn(run_periodically, "upstreams", lambda: READ_TICK_S, self.step)

    def take_push(self, push: ListPush) -> bool:
        """Take a list that another process has read; return whether its content is new here."""
        now = self.clock.now()
        try:
            newer = decode_list(push)
        except FrameError as err:
            _LOGGER.warning("fleet: list dropped: %s", err)
            return False
        return self.keeper.update(newer, now - push.age_ms / MS_PER_S)

    def step(self) -> None:
        """Read the list if it is due."""
        started = self.clock.now()
        if started < self.not_before or self.keeper.age_s(started) < self.read_after_s():
            return
        try:
            upstreams = self.source.read()
        except UpstreamListError as err:
            self.not_before = self.clock.now() + READ_RETRY_S
            if not self.failing:
                _LOGGER.warning(
                    "upstreams: list lost",
                    extra={"event": "list-lost", "reason": str(err)[:200]},
                )
            self.failing = True
            return
        if self.failing:
            self.failing = False
            _LOGGER.info("upstreams: list regained", extra={"event": "list-regained"})
        changed = self.keeper.update(create_upstream_list(upstreams), started)
        self.on_read(changed)
