"""Reader of the platform's list file."""

import logging
import pathlib

import msgspec

from spindle_daemon.components.platform_list.const import MAX_LIST_BYTES
from spindle_daemon.components.platform_list.models import PlatformList
from spindle_daemon.core.event_bus import EventBus
from spindle_daemon.core.platform_list_changed import PlatformListChanged

_LOGGER = logging.getLogger(__name__)


class PlatformListReader:
    """Reads the list file periodically and fires an event when it changed.

    If the file is missing, too large or malformed, the last valid list stays in
    force, and the fault is logged once until the file is readable again.
    """

    def __init__(self, path: pathlib.Path, bus: EventBus) -> None:
        self.path = path
        self.bus = bus
        self.leaving: frozenset[str] = frozenset()
        self.broken = False

    def read(self) -> None:
        """Read the file once; fire `PlatformListChanged` if the leaving upstreams changed."""
        try:
            platform_list = _parse(self.path)
        except (OSError, msgspec.MsgspecError) as err:
            self._log_unreadable(str(err))
            return
        self.broken = False
        leaving = frozenset(platform_list.leaving)
        if leaving != self.leaving:
            self.leaving = leaving
            self.bus.fire(PlatformListChanged(leaving))

    def _log_unreadable(self, reason: str) -> None:
        if not self.broken:
            _LOGGER.warning("platform: cannot read list: %s", reason)
        self.broken = True


def _parse(path: pathlib.Path) -> PlatformList:
    with path.open("rb") as file:
        data = file.read(MAX_LIST_BYTES + 1)
    if len(data) > MAX_LIST_BYTES:
        raise OSError(f"{path} is larger than {MAX_LIST_BYTES} bytes")
    return msgspec.json.decode(data, type=PlatformList)
