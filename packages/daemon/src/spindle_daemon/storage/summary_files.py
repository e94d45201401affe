"""Minute summaries on disk, off the loop."""

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
    """A summary sink over a blob store; each call runs on one pool thread.

    The calling greenlet waits, and the loop goes on meanwhile.
    """

    def __init__(self, store: BlobStore) -> None:
        self.store = store
        self.pool = ThreadPool(1)

    def put(self, instance: str, incarnation: int, minute: int, data: bytes) -> None:
        """Write a summary; return once it is synced to disk.

        Raises `StorageError` when it is refused. A failed sync ends the process.
        """
        try:
            self.pool.apply(self.store.put, (BlobKey(instance, incarnation, minute), data))
        except SyncFailedError as err:
            terminate_process(err)

    def load(self, first_minute: int, last_minute: int) -> tuple[bytes, ...]:
        """Return the summaries of the minutes from first to last, both included."""
        found: tuple[bytes, ...] = self.pool.apply(self._load, (first_minute, last_minute))
        return found

    def days(self) -> tuple[str, ...]:
        """Return the days of which something is kept, as `YYYY-MM-DD`, in order."""
        return tuple(str(_EPOCH + datetime.timedelta(days=day)) for day in self.store.days())

    def forget(self, day: str) -> None:
        """Remove a day."""
        number = (datetime.date.fromisoformat(day) - _EPOCH).days
        self.pool.apply(self.store.forget, (number,))

    def _load(self, first_minute: int, last_minute: int) -> tuple[bytes, ...]:
        first_day, last_day = first_minute // MINUTES_PER_DAY, last_minute // MINUTES_PER_DAY
        return tuple(
            blob.data
            for day in range(first_day, last_day + 1)
            for blob in self.store.scan(day).blobs
            if first_minute <= blob.key.minute <= last_minute
        )


def create_summary_files(folder: pathlib.Path) -> SummaryFiles:
    """Return a sink over the store in a folder that this process holds."""
    return SummaryFiles(open_blob_store(folder))
