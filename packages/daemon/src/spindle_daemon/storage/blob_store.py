"""The append-only store of minute summaries."""

import logging
import pathlib
import time
from collections.abc import Callable, Sequence

import msgspec

from spindle_daemon.storage.blob import Blob
from spindle_daemon.storage.blob_day import BlobDay
from spindle_daemon.storage.blob_key import BlobKey
from spindle_daemon.storage.blob_limits import BlobLimits
from spindle_daemon.storage.const import (
    DAY_DIGITS,
    FOLDER_MODE,
    MAX_BLOB_FUTURE_DAYS,
    PREFIX_BLOBS,
    S_PER_DAY,
)
from spindle_daemon.storage.file_access import FileAccess
from spindle_daemon.storage.os_file_access import create_file_access
from spindle_daemon.storage.record_codec import (
    HEADER_BYTES,
    encode_record,
    recover_records,
    scan_records,
)
from spindle_decisions.exceptions import StorageError, SyncFailedError

_LOGGER = logging.getLogger(__name__)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Blob)


class BlobStore:
    """Stores summaries in one file per day, limited in days and bytes.

    The oldest days are removed first. A summary is rejected if its day is no
    longer kept, or if it does not fit next to the summaries of later days. A day
    in the future is rejected too: one instance with a wrong clock could otherwise
    evict the days of all others. The calls block and must not overlap.
    """

    def __init__(
        self,
        files: FileAccess,
        folder: pathlib.Path,
        limits: BlobLimits,
        wall_clock: Callable[[], float],
    ) -> None:
        self.limits = limits
        self.wall_clock = wall_clock
        self._files = files
        self._folder = folder
        self._sizes: dict[int, int] = {}
        self._failure = ""

    def put(self, key: BlobKey, data: bytes) -> None:
        """Store and sync a summary; it replaces an earlier one with the same key."""
        self.put_all([Blob(key, data)])

    def put_all(self, blobs: Sequence[Blob]) -> None:
        """Store several summaries with one sync per day.

        Raises `StorageError` if one of them is rejected; nothing is stored then.
        Raises `SyncFailedError` if a write or sync fails, and on every later call.
        """
        if self._failure:
            raise SyncFailedError(f"unusable after an earlier failure: {self._failure}")
        days = sorted({blob.key.day for blob in blobs})
        bodies = {
            day: [_ENCODER.encode(blob) for blob in blobs if blob.key.day == day] for day in days
        }
        self._check_limits(blobs, bodies)
        try:
            for day in days:
                self._append(day, bodies[day])
            self._drop_oldest()
        except OSError as err:
            self._failure = str(err)
            _LOGGER.critical("storage: file operation failed: %s", err)
            raise SyncFailedError(f"file operation failed: {err}") from err

    def days(self) -> tuple[int, ...]:
        """Return the days with summaries, oldest first, counted from the Unix epoch."""
        return tuple(sorted(self._sizes))

    def scan(self, day: int) -> BlobDay:
        """Read the summaries of a day; skips damaged ones."""
        if day not in self._sizes:
            return BlobDay(day)
        data = self._path_of(day).read_bytes()
        found = recover_records(data, day)
        if found.skipped_bytes:
            _LOGGER.warning(
                "storage: skipped %s damaged bytes of %s", found.skipped_bytes, self._path_of(day)
            )
        newest = {blob.key: blob for blob in map(_DECODER.decode, found.bodies)}
        blobs = sorted(newest.values(), key=_sort_key)
        return BlobDay(day, tuple(blobs), found.skipped_bytes > 0)

    def remove_day(self, day: int) -> None:
        """Remove the summaries of a day."""
        if day in self._sizes:
            self._files.unlink(self._path_of(day))
            del self._sizes[day]

    def load(self) -> None:
        """Read the sizes of the day files, and cut torn tails."""
        for path in self._folder.iterdir():
            number = path.name.removeprefix(PREFIX_BLOBS)
            if path.name.startswith(PREFIX_BLOBS) and number.isdecimal():
                self._load_day(int(number), path)
        self._drop_oldest()

    def _load_day(self, day: int, path: pathlib.Path) -> None:
        data = path.read_bytes()
        scan = scan_records(data, day)
        size_bytes = len(data) if scan.valid_after_damage is not None else scan.end
        if size_bytes < len(data):
            _LOGGER.warning("storage: cut a torn tail from %s at offset %s", path, size_bytes)
            fd = self._files.open(path)
            try:
                self._files.truncate(fd, size_bytes)
                self._files.sync(fd)
            finally:
                self._files.close(fd)
        self._sizes[day] = size_bytes

    def _check_limits(self, blobs: Sequence[Blob], bodies: dict[int, list[bytes]]) -> None:
        for blob in blobs:
            if len(blob.data) > self.limits.max_blob_bytes:
                raise StorageError(
                    f"summary of {len(blob.data)} bytes exceeds the limit of "
                    f"{self.limits.max_blob_bytes} bytes"
                )
        newest = max([*self._sizes, *bodies], default=0)
        latest = int(self.wall_clock() // S_PER_DAY) + MAX_BLOB_FUTURE_DAYS
        for day, items in bodies.items():
            if day > latest:
                raise StorageError(
                    f"day {day} is in the future, the latest allowed day is {latest}"
                )
            if day <= newest - self.limits.max_days:
                raise StorageError(
                    f"day {day} is no longer kept: the newest is {newest}, "
                    f"{self.limits.max_days} days are kept"
                )
            size_bytes = self._sizes.get(day, 0) + _framed_bytes(items)
            later_bytes = sum(size for other, size in self._sizes.items() if other > day)
            if size_bytes + later_bytes > self.limits.max_bytes:
                raise StorageError(
                    f"day {day} would need {size_bytes} bytes in addition to {later_bytes} bytes "
                    f"of later days, which exceeds the limit of {self.limits.max_bytes} bytes"
                )

    def _append(self, day: int, bodies: list[bytes]) -> None:
        offset = start = self._sizes.get(day, 0)
        records = []
        for body in bodies:
            records.append(encode_record(body, day, offset))
            offset += len(records[-1])
        fd = self._files.open(self._path_of(day))
        try:
            self._files.write(fd, b"".join(records), start)
            self._files.sync(fd)
        finally:
            self._files.close(fd)
        if start == 0:
            self._files.sync_folder(self._folder)
        self._sizes[day] = offset

    def _drop_oldest(self) -> None:
        while self._sizes:
            oldest, newest = min(self._sizes), max(self._sizes)
            within_days = oldest > newest - self.limits.max_days
            if within_days and sum(self._sizes.values()) <= self.limits.max_bytes:
                return
            self.remove_day(oldest)
            _LOGGER.info("storage: removed the minute summaries of day %s", oldest)

    def _path_of(self, day: int) -> pathlib.Path:
        return self._folder / f"{PREFIX_BLOBS}{day:0{DAY_DIGITS}d}"


def open_blob_store(
    folder: pathlib.Path,
    files: FileAccess | None = None,
    limits: BlobLimits | None = None,
    wall_clock: Callable[[], float] = time.time,
) -> BlobStore:
    """Open or create a store in a folder that this process has locked."""
    access = files or create_file_access()
    try:
        if not folder.exists():
            folder.mkdir(mode=FOLDER_MODE, parents=True)
            access.sync_folder(folder.parent)
        store = BlobStore(access, folder, limits or BlobLimits(), wall_clock)
        store.load()
    except OSError as err:
        raise StorageError(f"{folder}: {err}") from err
    return store


def _sort_key(blob: Blob) -> tuple[int, str, int]:
    return blob.key.minute, blob.key.instance, blob.key.incarnation


def _framed_bytes(bodies: list[bytes]) -> int:
    return sum(HEADER_BYTES + len(body) for body in bodies)
