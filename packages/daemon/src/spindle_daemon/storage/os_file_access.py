"""File operations of the operating system."""

import os
import pathlib

from spindle_daemon.storage.const import FILE_MODE
from spindle_daemon.storage.file_access import SyncFunction


class OsFileAccess:
    """File operations of the operating system with a configurable sync function."""

    def __init__(self, sync: SyncFunction) -> None:
        self.sync_function = sync

    def open(self, path: pathlib.Path) -> int:
        """Open or create a file for reading and writing; return its descriptor."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)

    def write(self, fd: int, data: bytes, offset: int) -> None:
        """Write all of the data at the offset."""
        rest = memoryview(data)
        while rest:
            written = os.pwrite(fd, rest, offset)
            rest = rest[written:]
            offset += written

    def truncate(self, fd: int, size_bytes: int) -> None:
        """Truncate or extend the file to the size."""
        os.ftruncate(fd, size_bytes)

    def sync(self, fd: int) -> None:
        """Sync the content of the file to disk with the sync function."""
        self.sync_function(fd)

    def close(self, fd: int) -> None:
        """Close the file."""
        os.close(fd)

    def rename(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename the file; replaces an existing target."""
        os.rename(source, target)

    def unlink(self, path: pathlib.Path) -> None:
        """Remove the file."""
        os.unlink(path)

    def sync_folder(self, path: pathlib.Path) -> None:
        """Sync the file names in the folder to disk."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def create_file_access(sync: SyncFunction = os.fdatasync) -> OsFileAccess:
    """Return file operations that sync file content with `sync`."""
    return OsFileAccess(sync)
