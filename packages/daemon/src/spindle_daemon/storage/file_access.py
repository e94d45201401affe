"""The file operations that storage rests on."""

import pathlib
from typing import Protocol


class SyncFunction(Protocol):
    """Brings the content of an open file to the disk; raises `OSError` if that fails."""

    def __call__(self, fd: int, /) -> None:
        """Return once the content is on the disk."""


class FileAccess(Protocol):
    """File operations, each of which raises `OSError` if it fails.

    Storage uses no others, so a test can stop or fail any of them. None of them
    is durable by itself: content is after `sync`, names are after `sync_folder`.
    """

    def open(self, path: pathlib.Path) -> int:
        """Open a file for reading and writing, create it if it is missing, return it."""

    def write(self, fd: int, data: bytes, offset: int) -> None:
        """Write all of the data at the offset."""

    def truncate(self, fd: int, size_bytes: int) -> None:
        """Cut the file to the size."""

    def sync(self, fd: int) -> None:
        """Bring the content of the file to the disk."""

    def close(self, fd: int) -> None:
        """Close the file."""

    def rename(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Give the file another name, and replace the file that has it."""

    def unlink(self, path: pathlib.Path) -> None:
        """Remove the file."""

    def sync_folder(self, path: pathlib.Path) -> None:
        """Bring the names in the folder to the disk."""
