"""The lock that restricts a data folder to one process."""

import fcntl
import os
import pathlib

from spindle_daemon.storage.const import FILE_LOCK, FILE_MODE
from spindle_decisions.exceptions import StorageLockedError


class FolderLock:
    """A held lock; the operating system releases it when the process ends."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def release(self) -> None:
        """Release the lock; the folder may then be opened again."""
        os.close(self._fd)


def lock_folder(folder: pathlib.Path) -> FolderLock:
    """Lock the folder; raise `StorageLockedError` if another process holds the lock."""
    path = folder / FILE_LOCK
    fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as err:
        os.close(fd)
        raise StorageLockedError(f"{path}: another process holds the lock") from err
    return FolderLock(fd)
