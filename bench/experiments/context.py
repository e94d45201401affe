"""The parameters of an experiment's run."""

import pathlib
from dataclasses import dataclass


@dataclass(frozen=True)
class Context:
    """The seed, whether to run the short form, and the folder for the deployments' files."""

    seed: int
    short: bool
    folder: pathlib.Path
