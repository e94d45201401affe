"""File operations of the operating system."""

import os
import pathlib

from spindle_daemon.storage.const import FILE_MODE
from spindle_daemon.storage.file_access import SyncFunction


class OsFileAccess:
    """File operations of the operating system, with a sync function to choose."""

    def __init__(self, sync: SyncFunction) -> None:
        self.sync_function = sync

    def open(self, path: pathlib.Path) -> int:
        """Open a file for reading and writing, create it if it is missing, return it."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)

    def write(self, fd: int, data: bytes, offset: int) -> None:
        """Write all of the data at the offset."""
        rest = memoryview(data)
        while rest:
            written = os.pwrite(fd, rest, offset)
            rest = rest[written:]
            offset += written

    def truncate(self, fd: int, size_bytes: int) -> None:
        """Cut the file to the size."""
        os.ftruncate(fd, size_bytes)

    def sync(self, fd: int) -> None:
        """Bring the content of the file to the disk."""
        self.sync_function(fd)

    def close(self, fd: int) -> None:
        """Close the file."""
        os.close(fd)

    def rename(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Give the file another name, and replace the file that has it."""
        os.rename(source, target)

    def unlink(self, path: pathlib.Path) -> None:
        """Remove the file."""
        os.unlink(path)

    def sync_folder(self, path: pathlib.Path) -> None:
        """Bring the names in the folder to the disk."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def create_file_access(sync: SyncFunction = os.fdatasync) -> OsFileAccess:
    """Return file operations that bring content to the disk by `sync`."""
    return OsFileAccess(sync)
