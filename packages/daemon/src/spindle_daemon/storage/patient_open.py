"""Opening a data folder whose disk may refuse writes for a while."""

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
    """Open the folder as soon as its disk takes writes; raise only if it is damaged.

    A process that ended because its disk refused a write would end again at once, so
    it first waits until a write and a sync of a probe succeed.
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
                    "storage: disk lost: %s", err, extra={"event": "disk-lost", "reason": str(err)}
                )
            waited = True
            sleep(OPEN_RETRY_DELAY_S)
            continue
        if waited:
            _LOGGER.info("storage: disk regained", extra={"event": "disk-regained"})
        return folder


def probe_writable(path: pathlib.Path) -> None:
    """Write, sync and remove a file; raises `OSError` while the disk takes no writes."""
    path.mkdir(parents=True, exist_ok=True)
    file = path / PROBE_FILE
    try:
        with file.open("wb") as stream:
            stream.write(bytes(PROBE_BYTES))
            stream.flush()
            os.fsync(stream.fileno())
    finally:
        file.unlink(missing_ok=True)
