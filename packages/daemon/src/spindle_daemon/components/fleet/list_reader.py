"""Reader of the platform's list of upstreams."""

import logging
from collections.abc import Callable

import gevent

from spindle_daemon.components.fleet.const import LIST_CHECK_INTERVAL_S, LIST_RETRY_INTERVAL_S
from spindle_daemon.components.fleet.upstream_list_codec import decode_upstream_list
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.platform_adapter import UpstreamSource
from spindle_daemon.helpers.periodic import run_periodically
from spindle_decisions.exceptions import FrameError, UpstreamListError
from spindle_decisions.fleet.upstream_list_cache import UpstreamListCache
from spindle_decisions.routing.upstream_list import create_upstream_list
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.list_push import ListPush

_LOGGER = logging.getLogger(__name__)


class UpstreamListReader:
    """Reads the list when it is older than `refresh_age_s()` and caches it.

    `on_read` is called after each read with whether the content changed. A newer list
    pushed by another process makes a read unnecessary.
    """

    def __init__(
        self,
        clock: Clock,
        list_cache: UpstreamListCache,
        source: UpstreamSource,
        refresh_age_s: Callable[[], float],
        on_read: Callable[[bool], None],
    ) -> None:
        self.clock = clock
        self.list_cache = list_cache
        self.source = source
        self.refresh_age_s = refresh_age_s
        self.on_read = on_read
        self.retry_at = 0.0
        self.failing = False

    def start(self) -> None:
        """Start the greenlet."""
        gevent.spawn(run_periodically, "upstreams", lambda: LIST_CHECK_INTERVAL_S, self.read_if_due)

    def on_push(self, push: ListPush) -> bool:
        """Cache a list that another process read; return whether the content changed."""
        now = self.clock.now()
        try:
            newer = decode_upstream_list(push)
        except FrameError as err:
            _LOGGER.warning("fleet: dropped malformed upstream list: %s", err)
            return False
        return self.list_cache.update(newer, now - push.age_ms / MS_PER_S)

    def read_if_due(self) -> None:
        """Read the list if it is too old and no recent read failed."""
        started = self.clock.now()
        if started < self.retry_at or self.list_cache.age_s(started) < self.refresh_age_s():
            return
        # Also after an error that nobody expects: without a pause the platform refuses all reads.
        self.retry_at = started + LIST_RETRY_INTERVAL_S
        try:
            upstreams = self.source.read()
        except UpstreamListError as err:
            self.retry_at = self.clock.now() + LIST_RETRY_INTERVAL_S
            if not self.failing:
                _LOGGER.warning(
                    "upstreams: list not readable",
                    extra={"event": "list-lost", "reason": str(err)[:200]},
                )
            self.failing = True
            return
        self.retry_at = 0.0
        if self.failing:
            self.failing = False
            _LOGGER.info("upstreams: list readable again", extra={"event": "list-regained"})
        changed = self.list_cache.update(create_upstream_list(upstreams), started)
        self.on_read(changed)
