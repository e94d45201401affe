"""Checks that this tree is compatible with an earlier revision: `bench.old_build REVISION`.

The revision (the old build) is exported into a temporary folder and run in the environment of
this tree (the new build). Each check prints one line; the exit code is 1 if any check failed.

- settings: the new build loads the example settings of the old one.
- data folders: control instances of the new build start with the data folders of the old one
  and have the same digest, notes and day's page.
- mixed: control and entry instances of both builds serve, agree on notes, transfer leadership
  and answer the operator commands of both builds.
- routed: instances of both builds serve routes of a plan, with shards that have owners, before
  and after a change of leader.
"""

import pathlib
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Callable, Iterable

import typer

from bench.build import ROOT, Build, export_build
from bench.old_build_deployment import check_data_folders, check_mixed
from bench.old_build_routed import check_routed


def check_settings(old: Build, new: Build, folder: pathlib.Path) -> None:
    """Check that both builds load the example settings of the old build."""
    (folder / "key").write_bytes(b"k" * 32)
    for path in sorted((old.root / "examples" / "settings").rglob("*.ini")):
        text = path.read_text().splitlines()
        lines = [
            f"key-file = {folder / 'key'}" if line.startswith("key-file") else line for line in text
        ]
        copy = folder / path.name
        copy.write_text("\n".join(lines) + "\n")
        for build in (old, new):
            done = build.run("spindle_daemon", "--config", str(copy), "--check")
            assert done.returncode == 0, f"{path.name} by {build.name}: {done.stderr}"


Check = Callable[[Build, Build, pathlib.Path], None]
CHECKS: tuple[tuple[str, Check], ...] = (
    ("settings", check_settings),
    ("data folders", check_data_folders),
    ("mixed, old controls", lambda old, new, at: check_mixed(old, new, at, (0, 0, 0), 1)),
    ("mixed, new controls", lambda old, new, at: check_mixed(old, new, at, (1, 1, 1), 0)),
    ("mixed, mostly old controls", lambda old, new, at: check_mixed(old, new, at, (1, 0, 0), 0)),
    ("mixed, mostly new controls", lambda old, new, at: check_mixed(old, new, at, (0, 1, 1), 1)),
    ("routed, old controls", lambda old, new, at: check_routed(old, new, at, (0, 0, 0))),
    ("routed, new controls", lambda old, new, at: check_routed(old, new, at, (1, 1, 1))),
    ("routed, mixed controls", lambda old, new, at: check_routed(old, new, at, (0, 1, 0))),
)


def run_checks(
    checks: Iterable[tuple[str, Check]], old: Build, new: Build, folder: pathlib.Path
) -> int:
    """Run each check in a folder of its own and print its line; return how many failed."""
    failed = 0
    for number, (title, check) in enumerate(checks):
        check_folder = folder / f"check-{number}"
        check_folder.mkdir()
        started = time.monotonic()
        try:
            check(old, new, check_folder)
            verdict = "ok"
        except Exception as err:
            # An unexpected answer must not keep the other checks from running.
            failed += 1
            verdict = f"FAILED: {type(err).__name__}: {err}\n{traceback.format_exc()}"
        print(f"{title}: {verdict} ({time.monotonic() - started:.0f} s)", flush=True)
    return failed


def main(revision: str, only: str = "") -> None:
    """Run the checks against a revision; `only` selects those whose name starts with it."""
    with tempfile.TemporaryDirectory(prefix="spindle-old-build-") as name:
        folder = pathlib.Path(name)
        old, new = export_build(revision, folder), Build("this tree", ROOT)
        chosen = [item for item in CHECKS if item[0].startswith(only)]
        failed = run_checks(chosen, old, new, folder)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    typer.run(main)
