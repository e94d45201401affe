"""The key of a stored minute summary."""

import msgspec

from spindle_daemon.storage.const import MINUTES_PER_DAY


class BlobKey(msgspec.Struct, frozen=True):
    """One minute of one incarnation of an instance; `minute` counts from the Unix epoch."""

    instance: str
    incarnation: int
    minute: int

    @property
    def day(self) -> int:
        """Return the day of the minute, counted from the Unix epoch in UTC."""
        return self.minute // MINUTES_PER_DAY
