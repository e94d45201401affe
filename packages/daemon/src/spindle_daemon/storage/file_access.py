"""The file operations that storage uses."""

import pathlib
from typing import Protocol


class SyncFunction(Protocol):
    """Syncs the content of an open file to disk; raises `OSError` on failure."""

    def __call__(self, fd: int, /) -> None:
        """Sync the file; return once its content is on disk."""


class FileAccess(Protocol):
    """The file operations of storage; each raises `OSError` on failure.

    Storage writes through these only, so a test can make any of them crash or fail.
    Content is durable after `sync`, names are durable after `sync_folder`.
    """

    def open(self, path: pathlib.Path) -> int:
        """Open or create a file for reading and writing; return its descriptor."""

    def write(self, fd: int, data: bytes, offset: int) -> None:
        """Write all of the data at the offset."""

    def truncate(self, fd: int, size_bytes: int) -> None:
        """Truncate or extend the file to the size."""

    def sync(self, fd: int) -> None:
        """Sync the content of the file to disk."""

    def close(self, fd: int) -> None:
        """Close the file."""

    def rename(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename the file; replaces an existing target."""

    def unlink(self, path: pathlib.Path) -> None:
        """Remove the file."""

    def sync_folder(self, path: pathlib.Path) -> None:
        """Sync the file names in the folder to disk."""
