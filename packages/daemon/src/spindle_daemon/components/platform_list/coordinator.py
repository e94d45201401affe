"""Reading of the platform's list."""

import logging
import pathlib

import msgspec

from spindle_daemon.components.platform_list.const import MAX_LIST_BYTES
from spindle_daemon.components.platform_list.models import PlatformList
from spindle_daemon.core.event_bus import EventBus
from spindle_daemon.core.platform_list_changed import PlatformListChanged

_LOGGER = logging.getLogger(__name__)


class PlatformListReader:
    """Reads the list file again and again and tells what changed.

    A file that is missing, too large or malformed changes nothing: what was
    read last stays, and the fault is logged once until it is mended.
    """

    def __init__(self, path: pathlib.Path, bus: EventBus) -> None:
        self.path = path
        self.bus = bus
        self.leaving: frozenset[str] = frozenset()
        self.broken = False

    def read(self) -> None:
        """Read the file once; fire `UpstreamsListed` when the leaving ones changed."""
        try:
            found = _parse(self.path)
        except (OSError, msgspec.MsgspecError) as err:
            self._tell_broken(str(err))
            return
        self.broken = False
        leaving = frozenset(found.leaving)
        if leaving != self.leaving:
            self.leaving = leaving
            self.bus.fire(PlatformListChanged(leaving))

    def _tell_broken(self, why: str) -> None:
        if not self.broken:
            _LOGGER.warning("platform: list not read: %s", why)
        self.broken = True


def _parse(path: pathlib.Path) -> PlatformList:
    with path.open("rb") as file:
        data = file.read(MAX_LIST_BYTES + 1)
    if len(data) > MAX_LIST_BYTES:
        raise OSError(f"{path} is larger than {MAX_LIST_BYTES} bytes")
    return msgspec.json.decode(data, type=PlatformList)
