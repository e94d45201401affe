"""The identity of a data folder."""

import pathlib
import uuid

import msgspec

from spindle_daemon.storage.const import (
    FILE_IDENTITY,
    FOLDER_FORMAT,
    PREFIX_SEGMENT,
    PREFIX_SNAPSHOT,
)
from spindle_daemon.storage.durable_file import write_durable_file
from spindle_daemon.storage.file_access import FileAccess
from spindle_daemon.storage.record_codec import encode_record, scan_records
from spindle_decisions.exceptions import StorageDamagedError, StorageError

_FILE_NUMBER = 0


class Identity(msgspec.Struct, frozen=True):
    """The format version of a folder and the id that was assigned at its creation."""

    format: int
    folder_id: str


def load_identity(files: FileAccess, folder: pathlib.Path) -> Identity:
    """Read the identity of a folder, or create it in a folder without a log.

    Raises `StorageDamagedError` if it is damaged, or if it is missing although there
    are log or snapshot files, and `StorageError` if the folder has another format.
    """
    path = folder / FILE_IDENTITY
    if not path.exists():
        return _create_identity(files, path)
    scan = scan_records(path.read_bytes(), _FILE_NUMBER)
    if not scan.bodies:
        raise StorageDamagedError(f"{path}: damaged at offset 0")
    try:
        identity = msgspec.msgpack.decode(scan.bodies[0], type=Identity)
    except msgspec.DecodeError as err:
        raise StorageDamagedError(f"{path}: unreadable at offset 0: {err}") from err
    if identity.format != FOLDER_FORMAT:
        raise StorageError(
            f"{path}: format {identity.format}, this release reads and writes {FOLDER_FORMAT}"
        )
    return identity


def _create_identity(files: FileAccess, path: pathlib.Path) -> Identity:
    for other in path.parent.iterdir():
        if other.name.startswith((PREFIX_SEGMENT, PREFIX_SNAPSHOT)):
            raise StorageDamagedError(f"{path}: missing although {other.name} exists")
    identity = Identity(FOLDER_FORMAT, str(uuid.uuid4()))
    body = msgspec.msgpack.encode(identity)
    write_durable_file(files, path, encode_record(body, _FILE_NUMBER, 0))
    files.sync_folder(path.parent.parent)
    return identity
