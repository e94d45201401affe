"""A build of the system: the sources of one revision, run by the environment of this tree."""

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
    """The sources of one revision under a folder."""

    name: str
    root: pathlib.Path

    def environment(self) -> dict[str, str]:
        """Return the variables with which a process imports this build."""
        folders = [self.root / "packages" / name / "src" for name in PACKAGES]
        folders.append(self.root / "platform")
        return {"PYTHONPATH": os.pathsep.join(map(str, folders))}

    def run(self, module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a module of this build to its end."""
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
    """Write the sources of a revision into a folder; raises `CalledProcessError` if unknown."""
    archive = folder / "build.tar"
    command = ["git", "archive", "--output", str(archive), revision]
    subprocess.run(command, check=True, cwd=ROOT)
    root = folder / "build"
    with tarfile.open(archive) as file:
        file.extractall(root, filter="data")
    return Build(revision, root)
