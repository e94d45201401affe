"""The stored summaries of one day."""

import msgspec

from spindle_daemon.storage.blob import Blob


class BlobDay(msgspec.Struct, frozen=True):
    """All summaries of a day, sorted by minute, instance and incarnation.

    `damaged` is true if some summaries of the day could not be read. They are
    missing from `blobs`, and the day has to be shown with a gap.
    """

    day: int
    blobs: tuple[Blob, ...] = ()
    damaged: bool = False
