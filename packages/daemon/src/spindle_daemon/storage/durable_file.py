"""Writes a file atomically and durably."""

import pathlib

from spindle_daemon.storage.const import SUFFIX_TEMPORARY
from spindle_daemon.storage.file_access import FileAccess


def write_durable_file(files: FileAccess, path: pathlib.Path, data: bytes) -> None:
    """Write a temporary file, sync it, rename it to the path, and sync the folder.

    A crash at any point leaves either the old or the new file. A leftover temporary
    file is removed when the folder is next opened.
    """
    temporary = path.with_name(path.name + SUFFIX_TEMPORARY)
    fd = files.open(temporary)
    try:
        files.truncate(fd, 0)
        files.write(fd, data, 0)
        files.sync(fd)
    finally:
        files.close(fd)
    files.rename(temporary, path)
    files.sync_folder(path.parent)
