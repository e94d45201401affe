"""A build: the sources of one revision, run in the Python environment of this tree."""

import dataclasses
import os
import pathlib
import subprocess
import sys
import tarfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("decisions", "daemon", "cli", "devkit")


@dataclasses.dataclass(frozen=True)
class Build:
    """The sources of one revision; `root` is the folder that contains them."""

    name: str
    root: pathlib.Path

    def environment(self) -> dict[str, str]:
        """Return the environment variables that make a process import this build."""
        folders = [self.root / "packages" / name / "src" for name in PACKAGES]
        folders.append(self.root / "platform")
        return {"PYTHONPATH": os.pathsep.join(map(str, folders))}

    def run(self, module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a module of this build and wait for its exit."""
        return subprocess.run(
            [sys.executable, "-m", module, *arguments],
            capture_output=True,
            text=True,
            timeout=60.0,
            check=False,
            cwd=self.root,
            env={**os.environ, **self.environment()},
        )


def export_build(revision: str, folder: pathlib.Path) -> Build:
    """Export a revision into a folder; raises `CalledProcessError` if git does not know it."""
    archive = folder / "build.tar"
    command = ["git", "archive", "--output", str(archive), revision]
    subprocess.run(command, check=True, cwd=ROOT)
    root = folder / "build"
    with tarfile.open(archive) as file:
        file.extractall(root, filter="data")
    return Build(revision, root)
