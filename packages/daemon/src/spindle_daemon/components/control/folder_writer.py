"""Writes to the data folder outside the event loop."""

import logging
from collections.abc import Callable

import msgspec
from gevent.threadpool import ThreadPool

from spindle_daemon.components.control.const import SLOW_SYNC_THRESHOLD_S
from spindle_daemon.core.clock import Clock
from spindle_daemon.storage.data_folder import DataFolder
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.snapshot import Snapshot

_LOGGER = logging.getLogger(__name__)


class DataFolderWriter:
    """Runs all writes of one data folder in sequence on one pool thread.

    The event loop is not blocked meanwhile. Without `group_commit` every entry is
    synced separately; that setting exists to measure the gain of group commits.
    """

    def __init__(
        self,
        folder: DataFolder,
        clock: Clock,
        group_commit: bool,
        on_slow: Callable[[float], None],
    ) -> None:
        self.folder = folder
        self.clock = clock
        self.group_commit = group_commit
        self.on_slow = on_slow
        self.pool = ThreadPool(1)
        self.syncs = 0

    def persist(self, batch: PersistBatch) -> None:
        """Write and sync a batch; report a slow sync. Raises `SyncFailedError`."""
        started = self.clock.now()
        for sub_batch in self._sub_batches(batch):
            self.pool.apply(self.folder.persist, (sub_batch,))
            self.syncs += 1
        duration_s = self.clock.now() - started
        if duration_s > SLOW_SYNC_THRESHOLD_S:
            _LOGGER.warning("storage: sync took %.0f ms", duration_s * 1000)
            self.on_slow(duration_s)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot; raises `SyncFailedError`."""
        self.pool.apply(self.folder.save_snapshot, (snapshot,))

    def _sub_batches(self, batch: PersistBatch) -> list[PersistBatch]:
        if self.group_commit or len(batch.entries) < 2:
            return [batch]
        first = msgspec.structs.replace(batch, entries=batch.entries[:1])
        rest = [PersistBatch(batch.seq, entries=(entry,)) for entry in batch.entries[1:]]
        return [first, *rest]
