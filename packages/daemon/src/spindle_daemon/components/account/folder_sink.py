"""Minute summaries in the data folder of a control instance."""

import datetime
from collections.abc import Iterable

from gevent.threadpool import ThreadPool

from spindle_daemon.helpers.fatal import stop_process
from spindle_daemon.storage.blob_key import BlobKey
from spindle_daemon.storage.blob_store import BlobStore
from spindle_decisions.exceptions import SyncFailedError

MINUTES_PER_DAY = 24 * 60
EPOCH = datetime.date(1970, 1, 1)


class FolderSink:
    """Writes summaries on one pool thread, so that the loop goes on while they sync."""

    def __init__(self, store: BlobStore) -> None:
        self.store = store
        self.pool = ThreadPool(1)

    def put(self, instance: str, incarnation: int, minute: int, data: bytes) -> None:
        """Write and sync a summary; raises `StorageError` when it is refused."""
        try:
            self.pool.apply(self.store.put, (BlobKey(instance, incarnation, minute), data))
        except SyncFailedError as err:
            stop_process(err)

    def load(self, first_minute: int, last_minute: int) -> Iterable[bytes]:
        """Return the summaries of the minutes from first to last, both included."""
        days = range(first_minute // MINUTES_PER_DAY, last_minute // MINUTES_PER_DAY + 1)
        found = [self.pool.apply(self.store.scan, (day,)) for day in days]
        return [
            blob.data
            for day in found
            for blob in day.blobs
            if first_minute <= blob.key.minute <= last_minute
        ]

    def days(self) -> tuple[str, ...]:
        """Return the days of which something is kept, as `YYYY-MM-DD`, in order."""
        return tuple(_date(day) for day in self.store.days())

    def forget(self, day: str) -> None:
        """Do nothing: the store drops the oldest days by itself."""


def _date(day: int) -> str:
    return (EPOCH + datetime.timedelta(days=day)).isoformat()
