"""Crash tests of the data folder against a reference model."""

import pathlib
import random
import tempfile
import unittest
from collections.abc import Callable

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from spindle_daemon.storage.data_folder import DataFolder, open_data_folder
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.snapshot import Snapshot
from tests.daemon.storage.common import Crash, CrashFiles, DataFolderModel, entries, snapshot_at

SEGMENT_BYTES = 260
SEEDS_PER_CRASH = 6


class CrashTestRig:
    """A data folder on file operations that crash, with its reference model."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.temp_dir = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.temp_dir.name)
        self.generation = 0
        self.files = CrashFiles()
        self.model = DataFolderModel()
        self.folder_id = ""
        self.folder: DataFolder | None = None
        self.crashed = False

    def open(self, allowed: list[DataFolderModel]) -> None:
        """Open and restore; asserts that the result is one of the allowed states."""
        self.folder = open_data_folder(
            self.path / str(self.generation), self.files, max_segment_bytes=SEGMENT_BYTES
        )
        state = self.folder.restore()
        matching = [model for model in allowed if model.matches(state)]
        assert matching, (state, allowed)
        assert state.folder_id == self.folder_id or not self.folder_id
        self.folder_id = state.folder_id
        self.model = matching[-1]

    def run(self, action: Callable[[], None], allowed: list[DataFolderModel]) -> None:
        """Run an action; after a crash, recover from the content of the disk."""
        try:
            action()
        except Crash:
            self.recover(allowed)
            return
        self.model = allowed[-1]

    def recover(self, allowed: list[DataFolderModel]) -> None:
        """Recover after a crash; the recovery itself may crash again."""
        self.crashed = True
        self.close()
        self.generation += 1
        path = self.path / str(self.generation)
        path.mkdir()
        armed = self.rng.random() < 0.3
        self.files = self.files.after_crash(path, self.rng)
        self.files.crash_at = self.rng.randint(1, 6) if armed else 0
        try:
            self.open(allowed)
        except Crash:
            self.recover(allowed)

    def persist(self, batch: PersistBatch) -> None:
        assert self.folder is not None
        folder = self.folder
        self.run(lambda: folder.persist(batch), self.model.persist(batch))

    def save_snapshot(self, snapshot: Snapshot) -> None:
        assert self.folder is not None
        folder = self.folder
        self.run(lambda: folder.save_snapshot(snapshot), self.model.save_snapshot(snapshot))

    def start(self) -> None:
        self.run(lambda: self.open([DataFolderModel()]), [DataFolderModel()])

    def restart(self) -> None:
        """Close the folder without a crash and open it again."""
        self.close()
        self.run(lambda: self.open([self.model]), [self.model])

    def append(self, count: int, term: int = 1, cut: int = 0) -> None:
        """Append entries that replace the last `cut` ones."""
        cut = min(cut, len(self.model.entries))
        first = self.model.last_index + 1 - cut
        hard_state = HardState(term, "a") if term > self.model.hard_state.term else None
        batch = PersistBatch(1, hard_state, first if cut else 0, entries(first, count, term))
        self.persist(batch)

    def save_own_snapshot(self, behind: int) -> None:
        """Save a snapshot that the instance took itself."""
        index = self.model.last_index - behind
        covered = self.model.snapshot.index if self.model.snapshot else 0
        if index > covered:
            self.save_snapshot(snapshot_at(index, self.model.term_at(index) or 1))

    def snapshot_ahead_of_disk(self, back: int, count: int) -> None:
        """Save a snapshot of entries that replace the last ones, then write these entries."""
        first = max(1, self.model.last_index + 1 - min(back, len(self.model.entries)))
        term = self.model.hard_state.term + 1
        index = first + count - 1
        if index <= (self.model.snapshot.index if self.model.snapshot else 0):
            return
        self.save_snapshot(snapshot_at(index, term))
        if self.model.snapshot == snapshot_at(index, term):
            self.write_overtaken_batch(entries(first, count + 1, term))

    def write_overtaken_batch(self, late: tuple[LogEntry, ...]) -> None:
        """Write a batch whose entries a stored snapshot partly covers."""
        assert self.folder is not None and self.model.snapshot is not None
        folder, before = self.folder, self.model
        batch = PersistBatch(1, None, late[0].index, late)
        kept = tuple(entry for entry in late if entry.index > self.model.snapshot.index)
        after = DataFolderModel(before.hard_state, before.snapshot, kept)
        self.run(lambda: folder.persist(batch), [before, after])

    def install_snapshot(self, ahead: int, count: int) -> None:
        """Persist a snapshot from the leader, with entries after it."""
        index = self.model.last_index + ahead
        term = self.model.hard_state.term + 1
        batch = PersistBatch(
            1, HardState(term, ""), 0, entries(index + 1, count, term), snapshot_at(index, term)
        )
        self.persist(batch)

    def close(self) -> None:
        if self.folder is not None:
            self.folder.close()
            self.folder = None


def _run_script(rig: CrashTestRig) -> None:
    rig.start()
    rig.append(3, term=1)
    rig.append(4, term=2, cut=2)
    rig.append(6, term=2)
    rig.save_own_snapshot(behind=3)
    rig.append(2, term=3, cut=1)
    rig.save_own_snapshot(behind=0)
    rig.restart()
    rig.append(5, term=3)
    rig.snapshot_ahead_of_disk(back=4, count=2)
    rig.append(3, term=4)
    rig.install_snapshot(ahead=4, count=2)
    rig.append(1, term=9)
    rig.save_own_snapshot(behind=1)
    rig.restart()


class TestCrashAtEveryOperation(unittest.TestCase):
    def test_restores_exactly_what_was_persisted(self) -> None:
        crashes, crash_at, crashed = 0, 0, True
        while crashed:
            crash_at += 1
            crashed = False
            for seed in range(SEEDS_PER_CRASH):
                rig = CrashTestRig(random.Random(f"{crash_at}/{seed}"))
                rig.files.crash_at = crash_at
                _run_script(rig)
                rig.close()
                rig.temp_dir.cleanup()
                crashed = crashed or rig.crashed
                crashes += rig.crashed
        self.assertGreater(crashes, 50 * SEEDS_PER_CRASH)


class StorageMachine(RuleBasedStateMachine):
    """Runs operations and crashes in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.rig = CrashTestRig(random.Random(0))
        self.rig.start()

    @rule(count=st.integers(0, 4), raised=st.integers(0, 1), cut=st.integers(0, 3))
    def append(self, count: int, raised: int, cut: int) -> None:
        self.rig.append(count, max(1, self.rig.model.hard_state.term + raised), cut)

    @rule(behind=st.integers(0, 5))
    def save_own_snapshot(self, behind: int) -> None:
        self.rig.save_own_snapshot(behind)

    @rule(back=st.integers(0, 4), count=st.integers(1, 3))
    def snapshot_ahead_of_disk(self, back: int, count: int) -> None:
        self.rig.snapshot_ahead_of_disk(back, count)

    @rule(ahead=st.integers(1, 5), count=st.integers(0, 2))
    def install_snapshot(self, ahead: int, count: int) -> None:
        self.rig.install_snapshot(ahead, count)

    @rule()
    def restart(self) -> None:
        self.rig.restart()

    @rule(operations=st.integers(1, 12), seed=st.integers(0, 1000))
    def schedule_crash(self, operations: int, seed: int) -> None:
        self.rig.rng = random.Random(seed)
        self.rig.files.crash_at = self.rig.files.operations + operations

    def teardown(self) -> None:
        self.rig.files.crash_at = 0
        self.rig.restart()
        self.rig.close()
        self.rig.temp_dir.cleanup()


StorageMachine.TestCase.settings = settings(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=40
)
TestStorageMachine = StorageMachine.TestCase
