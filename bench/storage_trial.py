"""Measures the time and space that notes, claims and group commits take.

Example: `python -m bench.storage_trial --json trial.json`.
"""

import gc
import pathlib
import statistics
import tempfile
import time
import tracemalloc
import uuid
from collections.abc import Callable
from typing import Annotated

import msgspec
import typer

from spindle_daemon.storage.data_folder import DataFolder, open_data_folder
from spindle_decisions.commands.apply_note import ApplyNote
from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.command import Command, decode_command, encode_command
from spindle_decisions.commands.record_outcome import RecordOutcome
from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.snapshot import Snapshot
from spindle_decisions.state.replicated_state import ReplicatedState, create_replicated_state
from spindle_decisions.util.units import MS_PER_S, US_PER_S

START_MS = 1_790_000_000_000
SERVICE_COUNTS = (50, 200, 850)
NOTES_PER_CATALOG = 50
NOTE_COUNTS = (100, 300, 1_000)
CLAIM_COUNTS = (1_000, 10_000, 50_000)
BATCH_SIZES = (1, 10, 100)
BATCH_ROUNDS = 100
BODY = b"x" * 200


class Measurement(msgspec.Struct, frozen=True):
    """One measured value."""

    name: str
    count: int
    value: float
    unit: str


def main(
    json: Annotated[pathlib.Path | None, typer.Option(help="Write figures here.")] = None,
) -> None:
    """Run all measurements, print them, and write them to the JSON file if one is given."""
    figures = [_measure_catalog(services) for services in SERVICE_COUNTS]
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        for count in NOTE_COUNTS:
            figures += _measure_notes(root / f"notes-{count}", count)
        for count in CLAIM_COUNTS:
            figures += _measure_claims(count)
        for size in BATCH_SIZES:
            figures += _measure_batches(root / f"batch-{size}", size)
    for figure in figures:
        print(f"{figure.name:32} {figure.count:7} {figure.value:12.1f} {figure.unit}")
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))


def _notes(count: int) -> list[Command]:
    base = _note(1, _base_body(50))
    return [base, *(_note(number, _drain_body(number)) for number in range(2, count + 1))]


def _note(number: int, body: str) -> ApplyNote:
    header = f"[note]\nnumber = {number}\nid = {uuid.UUID(int=number)}\nauthor = yann\n"
    return ApplyNote(header + body, START_MS + number)


def _base_body(services: int) -> str:
    lines = ["[added data-center rennes-a]", "[added group comptoir]", "kind = query"]
    for number in range(services):
        lines += [f"[added service comptoir-{number}]", "group = comptoir"]
        for replica in range(2):
            lines += [
                f"[added upstream comptoir-{number}-{replica}]",
                f"service = comptoir-{number}",
                "data-center = rennes-a",
                f"address = 127.0.0.1:{20_000 + 2 * number + replica}",
            ]
    return "\n".join(lines)


def _drain_body(number: int) -> str:
    draining = "yes" if number // 50 % 2 else "no"
    return f"[changed upstream comptoir-{number % 50}-0]\ndraining = {draining}\n"


def _claims(count: int) -> list[Command]:
    commands: list[Command] = []
    for number in range(count):
        at_ms = START_MS + number
        request_id = str(uuid.UUID(int=(at_ms << 80) | (7 << 76) | (2 << 62) | number))
        attempt = str(uuid.UUID(int=number))
        commands.append(ClaimRun(request_id, "d" * 32, attempt, "entry-rennes-1", at_ms))
        commands.append(RecordOutcome(request_id, attempt, True, 200, BODY, at_ms))
    return commands


def _measure_catalog(services: int) -> Measurement:
    state = create_replicated_state()
    state.apply(1, _note(1, _base_body(services)))
    count = NOTES_PER_CATALOG
    notes = [_note(number, _drain_body(number)) for number in range(2, count + 2)]
    apply_s = _timed(lambda: [state.apply(i, note) for i, note in enumerate(notes, start=2)])
    upstreams = len(state.catalog.upstreams)
    return Measurement("note: apply to upstreams", upstreams, apply_s / count * US_PER_S, "us/note")


def _measure_notes(path: pathlib.Path, count: int) -> list[Measurement]:
    commands = _notes(count)
    state = create_replicated_state()
    apply_s = _timed(lambda: _apply_all(state, commands))
    _write_log(path, commands)
    log_bytes = _folder_bytes(path)
    replay_s = _timed(lambda: _restore(path))
    snapshot = Snapshot(count, 1, MembershipSet(), state.encode_snapshot())
    folder = open_data_folder(path)
    folder.restore()
    folder.save_snapshot(snapshot)
    folder.close()
    snapshot_s = _timed(lambda: _restore(path))
    return [
        Measurement("note: apply", count, apply_s / count * US_PER_S, "us/note"),
        Measurement("note: log", count, log_bytes / count, "bytes/note"),
        Measurement(
            "note: state kept for good", count, _history_bytes(state) / count, "bytes/note"
        ),
        Measurement("note: snapshot", count, len(snapshot.data), "bytes"),
        Measurement("note: restore from log", count, replay_s * MS_PER_S, "ms"),
        Measurement("note: restore from snapshot", count, snapshot_s * MS_PER_S, "ms"),
    ]


def _history_bytes(state: ReplicatedState) -> int:
    return sum(len(row) for row in msgspec.msgpack.decode(state.encode_snapshot())["note_rows"])


def _measure_claims(count: int) -> list[Measurement]:
    commands = _claims(count)
    state = create_replicated_state()
    apply_s = _timed(lambda: _apply_all(state, commands))
    encode_s = _timed(state.encode_snapshot)
    data = state.encode_snapshot()
    log_bytes = sum(len(encode_command(command)) for command in commands)
    restored = create_replicated_state()
    restore_s = _timed(lambda: restored.restore(data))
    gc.collect()
    tracemalloc.start()
    create_replicated_state().restore(data)
    measured = create_replicated_state()
    before_bytes = tracemalloc.get_traced_memory()[0]
    measured.restore(data)
    memory_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    return [
        Measurement("claim and outcome: apply", count, apply_s / count * US_PER_S, "us/claim"),
        Measurement("claim and outcome: log", count, log_bytes / count, "bytes/claim"),
        Measurement("claim and outcome: snapshot", count, len(data) / count, "bytes/claim"),
        Measurement("claim and outcome: memory", count, memory_bytes / count, "bytes/claim"),
        Measurement("claim: encode snapshot", count, encode_s * MS_PER_S, "ms"),
        Measurement("claim: restore snapshot", count, restore_s * MS_PER_S, "ms"),
    ]


def _measure_batches(path: pathlib.Path, size: int) -> list[Measurement]:
    folder = open_data_folder(path)
    folder.restore()
    commands = [encode_command(command) for command in _claims(size)[::2]]
    times_s = [_persist_batch(folder, commands, number) for number in range(BATCH_ROUNDS)]
    folder.close()
    median_s = statistics.median(times_s)
    worst_s = sorted(times_s)[int(BATCH_ROUNDS * 0.99) - 1]
    return [
        Measurement("persist: median of a batch", size, median_s * US_PER_S, "us/batch"),
        Measurement("persist: 99% of a batch", size, worst_s * US_PER_S, "us/batch"),
        Measurement("persist: median of an entry", size, median_s / size * US_PER_S, "us/entry"),
    ]


def _persist_batch(folder: DataFolder, commands: list[bytes], number: int) -> float:
    first = number * len(commands) + 1
    entries = tuple(
        LogEntry(first + offset, 1, EntryKind.COMMAND, data) for offset, data in enumerate(commands)
    )
    return _timed(lambda: folder.persist(PersistBatch(number, entries=entries)))


def _apply_all(state: ReplicatedState, commands: list[Command]) -> None:
    for index, command in enumerate(commands, start=1):
        state.apply(index, command)


def _write_log(path: pathlib.Path, commands: list[Command]) -> None:
    folder = open_data_folder(path)
    folder.restore()
    for index, command in enumerate(commands, start=1):
        entry = LogEntry(index, 1, EntryKind.COMMAND, encode_command(command))
        folder.persist(PersistBatch(index, entries=(entry,)))
    folder.close()


def _restore(path: pathlib.Path) -> None:
    folder = open_data_folder(path)
    restored = folder.restore()
    state = create_replicated_state()
    if restored.snapshot is not None:
        state.restore(restored.snapshot.data)
    for entry in restored.entries:
        state.apply(entry.index, decode_command(entry.data))
    folder.close()


def _folder_bytes(path: pathlib.Path) -> int:
    return sum(file.stat().st_size for file in path.iterdir())


def _timed(action: Callable[[], object]) -> float:
    gc.collect()
    started = time.perf_counter()
    action()
    return time.perf_counter() - started


if __name__ == "__main__":
    typer.run(main)
