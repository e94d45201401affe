"""File operations that simulate crashes, and a reference model of a data folder."""

import dataclasses
import logging
import os
import pathlib
import random

from spindle_daemon.storage.os_file_access import OsFileAccess
from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.restored_state import RestoredState
from spindle_decisions.consensus.snapshot import Snapshot

logging.getLogger("spindle_daemon.storage").setLevel(logging.CRITICAL + 1)


class Crash(BaseException):
    """Simulated crash of the process."""


@dataclasses.dataclass
class CrashFile:
    """The written content of a file, and the content that is synced to disk."""

    content: bytes = b""
    synced: bytes = b""


class CrashFiles(OsFileAccess):
    """File operations that crash at operation number `crash_at`, and track the disk content.

    Content is durable after `sync`, names are durable after `sync_folder`. A crash
    loses, tears or corrupts everything else. A write that crashes may be on disk.
    """

    def __init__(self) -> None:
        super().__init__(self._mark_synced)
        self.operations = 0
        self.crash_at = 0
        self.names: dict[str, CrashFile] = {}
        self.history: list[dict[str, CrashFile]] = [{}]
        self.by_fd: dict[int, CrashFile] = {}

    def _mark_synced(self, fd: int, /) -> None:
        self.by_fd[fd].synced = self.by_fd[fd].content

    def _step(self) -> None:
        self.operations += 1
        if self.operations == self.crash_at:
            raise Crash

    def _record_names(self) -> None:
        self.history.append(dict(self.names))

    def open(self, path: pathlib.Path) -> int:
        self._step()
        fd = super().open(path)
        if path.name not in self.names:
            self.names[path.name] = CrashFile()
            self._record_names()
        self.by_fd[fd] = self.names[path.name]
        return fd

    def write(self, fd: int, data: bytes, offset: int) -> None:
        file = self.by_fd[fd]
        file.content = file.content[:offset].ljust(offset, b"\0") + data
        self._step()
        super().write(fd, data, offset)

    def truncate(self, fd: int, size_bytes: int) -> None:
        self._step()
        super().truncate(fd, size_bytes)
        self.by_fd[fd].content = self.by_fd[fd].content[:size_bytes].ljust(size_bytes, b"\0")

    def sync(self, fd: int) -> None:
        self._step()
        super().sync(fd)

    def rename(self, source: pathlib.Path, target: pathlib.Path) -> None:
        self._step()
        super().rename(source, target)
        self.names[target.name] = self.names.pop(source.name)
        self._record_names()

    def unlink(self, path: pathlib.Path) -> None:
        self._step()
        super().unlink(path)
        del self.names[path.name]
        self._record_names()

    def sync_folder(self, path: pathlib.Path) -> None:
        self._step()
        self.history = [dict(self.names)]

    def after_crash(self, folder: pathlib.Path, rng: random.Random) -> "CrashFiles":
        """Write files, as a crash may leave them, to an empty folder; return the files."""
        files = CrashFiles()
        for name, file in rng.choice(self.history).items():
            content = _content_after_crash(file, rng)
            (folder / name).write_bytes(content)
            files.names[name] = CrashFile(content, content)
        files.history = [dict(files.names)]
        return files


def _content_after_crash(file: CrashFile, rng: random.Random) -> bytes:
    kind = rng.choice(["synced", "prefix", "zeros", "noise", "all"])
    pending = len(file.content) - len(file.synced)
    if kind == "all":
        return file.content
    if kind == "synced" or pending <= 0 or not file.content.startswith(file.synced):
        return file.synced
    if kind == "prefix":
        return file.content[: rng.randint(len(file.synced), len(file.content))]
    if kind == "zeros":
        return file.synced + bytes(pending)
    corrupted = bytearray(file.content)
    for _ in range(rng.randint(1, 4)):
        corrupted[rng.randrange(len(file.synced), len(corrupted))] ^= rng.randint(1, 255)
    return bytes(corrupted)


@dataclasses.dataclass(frozen=True)
class DataFolderModel:
    """The state that a data folder has to restore."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()

    @property
    def last_index(self) -> int:
        covered = self.snapshot.index if self.snapshot else 0
        return self.entries[-1].index if self.entries else covered

    def term_at(self, index: int) -> int | None:
        return next((entry.term for entry in self.entries if entry.index == index), None)

    def matches(self, state: RestoredState) -> bool:
        own = (self.hard_state, self.snapshot, self.entries)
        return own == (state.hard_state, state.snapshot, state.entries)

    def persist(self, batch: PersistBatch) -> list["DataFolderModel"]:
        """Return the states that a crash may leave; the last one is the completed operation."""
        hard_state = batch.hard_state or self.hard_state
        states = [self]
        kept, snapshot = self.entries, self.snapshot
        if batch.snapshot is not None:
            kept, snapshot = (), batch.snapshot
            states.append(dataclasses.replace(self, hard_state=hard_state))
            states.append(DataFolderModel(hard_state, snapshot))
        if batch.truncate_from:
            kept = tuple(entry for entry in kept if entry.index < batch.truncate_from)
        return [*states, DataFolderModel(hard_state, snapshot, kept + batch.entries)]

    def save_snapshot(self, snapshot: Snapshot) -> list["DataFolderModel"]:
        """Return the states that a crash may leave; the last one is the completed operation."""
        kept = tuple(entry for entry in self.entries if entry.index > snapshot.index)
        if self.term_at(snapshot.index) != snapshot.term:
            kept = ()
        return [self, DataFolderModel(self.hard_state, snapshot, kept)]


def entries(first: int, count: int, term: int = 1, size_bytes: int = 8) -> tuple[LogEntry, ...]:
    """Return consecutive entries, each with its index as content."""
    return tuple(
        LogEntry(index, term, EntryKind.COMMAND, index.to_bytes(size_bytes, "big"))
        for index in range(first, first + count)
    )


def snapshot_at(index: int, term: int = 1) -> Snapshot:
    """Return a snapshot with content that depends on its index."""
    return Snapshot(index, term, MembershipSet(), b"state %d" % index)


def copy_folder(source: pathlib.Path, target: pathlib.Path) -> None:
    """Copy the files of a flat folder."""
    target.mkdir()
    for path in source.iterdir():
        if path.is_file():
            (target / path.name).write_bytes(path.read_bytes())


def fail_sync(fd: int, /) -> None:
    """Fail with an I/O error, like a disk that lost a write."""
    raise OSError(5, os.strerror(5))
