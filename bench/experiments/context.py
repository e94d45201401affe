"""What an experiment is run with."""

import pathlib
from dataclasses import dataclass


@dataclass(frozen=True)
class Context:
    """The seed, the form, and the folder in which deployments keep their files."""

    seed: int
    short: bool
    folder: pathlib.Path
