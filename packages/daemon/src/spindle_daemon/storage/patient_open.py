"""Opens a data folder whose disk may reject writes temporarily."""

import logging
import os
import pathlib
from collections.abc import Callable

from spindle_daemon.storage.data_folder import DataFolder, open_data_folder
from spindle_decisions.exceptions import StorageDamagedError, StorageError

_LOGGER = logging.getLogger(__name__)

OPEN_RETRY_DELAY_S = 0.5
PROBE_FILE = "probe"
PROBE_BYTES = 64 * 1024


def open_when_writable(path: pathlib.Path, sleep: Callable[[float], None]) -> DataFolder:
    """Open the folder once its disk accepts writes; raise only if the folder is damaged.

    A process that stopped after a failed write would fail again right after its
    restart, so it first waits until a test file can be written and synced.
    """
    waited = False
    while True:
        try:
            probe_writable(path)
            folder = open_data_folder(path)
        except StorageDamagedError:
            raise
        except (OSError, StorageError) as err:
            if not waited:
                _LOGGER.warning(
                    "storage: disk rejects writes: %s",
                    err,
                    extra={"event": "disk-lost", "reason": str(err)},
                )
            waited = True
            sleep(OPEN_RETRY_DELAY_S)
            continue
        if waited:
            _LOGGER.info("storage: disk accepts writes again", extra={"event": "disk-regained"})
        return folder


def probe_writable(path: pathlib.Path) -> None:
    """Write, sync and remove a test file; raises `OSError` if the disk rejects writes."""
    path.mkdir(parents=True, exist_ok=True)
    file = path / PROBE_FILE
    try:
        with file.open("wb") as stream:
            stream.write(bytes(PROBE_BYTES))
            stream.flush()
            os.fsync(stream.fileno())
    finally:
        file.unlink(missing_ok=True)
