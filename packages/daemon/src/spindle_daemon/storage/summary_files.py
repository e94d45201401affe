"""Reads and writes minute summaries on disk outside the event loop."""

import datetime
import pathlib

from gevent.threadpool import ThreadPool

from spindle_daemon.helpers.fatal import terminate_process
from spindle_daemon.storage.blob_key import BlobKey
from spindle_daemon.storage.blob_store import BlobStore, open_blob_store
from spindle_daemon.storage.const import MINUTES_PER_DAY
from spindle_decisions.exceptions import SyncFailedError

_EPOCH = datetime.date(1970, 1, 1)


class SummaryFiles:
    """A summary sink over a blob store; file operations run on one pool thread.

    The calling greenlet waits without blocking the event loop.
    """

    def __init__(self, store: BlobStore) -> None:
        self.store = store
        self.pool = ThreadPool(1)

    def put(self, instance: str, incarnation: int, minute: int, data: bytes) -> None:
        """Write a summary; return once it is synced to disk.

        Raises `StorageError` if it is rejected. A failed sync stops the process.
        """
        try:
            self.pool.apply(self.store.put, (BlobKey(instance, incarnation, minute), data))
        except SyncFailedError as err:
            terminate_process(err)

    def load(self, first_minute: int, last_minute: int) -> tuple[bytes, ...]:
        """Return the summaries from `first_minute` to `last_minute`, both included."""
        found: tuple[bytes, ...] = self.pool.apply(self._load, (first_minute, last_minute))
        return found

    def days(self) -> tuple[str, ...]:
        """Return the days with summaries as `YYYY-MM-DD`, oldest first."""
        return tuple(str(_EPOCH + datetime.timedelta(days=day)) for day in self.store.days())

    def remove_day(self, day: str) -> None:
        """Remove the summaries of a day, given as `YYYY-MM-DD`."""
        number = (datetime.date.fromisoformat(day) - _EPOCH).days
        self.pool.apply(self.store.remove_day, (number,))

    def _load(self, first_minute: int, last_minute: int) -> tuple[bytes, ...]:
        first_day, last_day = first_minute // MINUTES_PER_DAY, last_minute // MINUTES_PER_DAY
        return tuple(
            blob.data
            for day in range(first_day, last_day + 1)
            for blob in self.store.scan(day).blobs
            if first_minute <= blob.key.minute <= last_minute
        )


def create_summary_files(folder: pathlib.Path) -> SummaryFiles:
    """Create a sink over the store in a folder that this process has locked."""
    return SummaryFiles(open_blob_store(folder))
